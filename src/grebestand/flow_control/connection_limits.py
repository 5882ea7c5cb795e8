"""The distribution of a controller's sockets, so that no kind of connection can use up the share of another."""

from __future__ import annotations

from dataclasses import dataclass

from ..settings.platform import ProcessLimits

#: connections to the key-value store for requests and for watches, and to the cloud
STATE_REQUESTS, STATE_WATCHES, CLOUD = 24, 4, 4
#: connections to and from each other controller for status exchange, and for requests to the store on behalf of another
GREETINGS, RELAYED = 2, 24
#: batches of heartbeats that one controller may have in flight to the leader
BATCHES = 4
#: controllers that may proxy requests at a time: the connections to a previous one may still be open
HELPERS = 2
#: connections for commands that are sent directly to workers; at most this part of the quota
DIRECT, DIRECT_DIVISOR = 100, 12
#: file descriptors for listeners, files and the event loop
SPARE = 48
#: connections beyond those that are served, whose clients are told at once to go elsewhere or to come back later
TURNED_AWAY, TURNED_AWAY_DIVISOR = 32, 32
#: connections that the kernel queues until they are accepted
BACKLOG, BACKLOG_DIVISOR = 128, 16
#: connections that are served even with a quota that leaves fewer, as a controller could do nothing useful below
MIN_SERVING = 50
#: part of the served connections that is reserved for users
USERS = 0.125


@dataclass(frozen=True)
class ConnectionPlan:
    """Numbers of connections; together they stay within the quota.

    Attributes:
        peers: To all other controllers.
        from_peers: From all other controllers. Each may proxy its requests here, and come again for those that it has
            given up on.
        direct: To workers, for direct commands.
        serving: From workers and users together.
        turned_away: From workers and users beyond `serving`, which get one response and are closed.
        backlog: Queued by the kernel until they are accepted.
        workers: The part of `serving` that workers may use.
    """

    peers: int
    from_peers: int
    direct: int
    serving: int
    turned_away: int
    backlog: int
    workers: int


def plan_connections(quota: ProcessLimits, others: int) -> ConnectionPlan:
    """Return the distribution for a controller that has `others` controllers beside it."""
    max_connections = quota.max_connections
    peers = others * (GREETINGS + BATCHES) + min(others, HELPERS) * RELAYED
    from_peers = others * (GREETINGS + RELAYED + BATCHES)
    direct = min(DIRECT, max_connections // DIRECT_DIVISOR)
    turned_away = min(TURNED_AWAY, max_connections // TURNED_AWAY_DIVISOR)
    backlog = min(BACKLOG, max_connections // BACKLOG_DIVISOR)
    store_and_cloud = STATE_REQUESTS + STATE_WATCHES + CLOUD
    reserved = store_and_cloud + peers + from_peers + direct + SPARE + turned_away + backlog
    serving = max(MIN_SERVING, max_connections - reserved)
    return ConnectionPlan(
        peers=peers,
        from_peers=from_peers,
        direct=direct,
        serving=serving,
        turned_away=turned_away,
        backlog=backlog,
        workers=serving - int(USERS * serving),
    )
