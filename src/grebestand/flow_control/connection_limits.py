"""How the sockets that a controller may have are shared out, so that nobody's connections use up another's."""

from __future__ import annotations

from dataclasses import dataclass

from ..settings.platform import Quota

#: connections to the state service for requests and for watches, and to the cloud
STATE_REQUESTS, STATE_WATCHES, CLOUD = 24, 4, 4
#: to each other controller and from it: greetings, and what is asked of the state service for another
GREETINGS, RELAYED = 2, 24
#: batches of reports that are under way from one controller to the leader
BATCHES = 4
#: controllers that are asked for another at a time, as connections to the one before are still open
HELPERS = 2
#: for the direct orders that are under way to workers, at the most
DIRECT = 100
#: listeners, files, the event loop's own
SPARE = 48
#: connections beyond what is served: they are told at once where else to go, or when to come back
TURNED_AWAY = 32
#: connections that the kernel holds until they are accepted
BACKLOG = 128
#: of what is left, this part at least is for users
USERS = 0.125


@dataclass(frozen=True)
class ConnectionPlan:
    """Counts of connections; together they stay within the quota."""

    #: to all other controllers
    peers: int
    #: and from them: each may ask this one for what it cannot ask itself, and come again for what it has given up
    from_peers: int
    direct: int
    #: of workers and users together, and beyond those that are answered once and closed
    serving: int
    turned_away: int
    backlog: int
    #: of workers
    workers: int


def plan_connections(quota: Quota, others: int) -> ConnectionPlan:
    """The shares of a controller that has so many others beside it."""
    most = quota.max_connections
    peers = others * (GREETINGS + BATCHES) + min(others, HELPERS) * RELAYED
    direct, turned_away, backlog = min(DIRECT, most // 12), min(TURNED_AWAY, most // 32), min(BACKLOG, most // 16)
    from_peers = others * (GREETINGS + RELAYED + BATCHES)
    reserved = STATE_REQUESTS + STATE_WATCHES + CLOUD + peers + from_peers + direct + SPARE + turned_away + backlog
    serving = max(50, most - reserved)
    return ConnectionPlan(peers, from_peers, direct, serving, turned_away, backlog, serving - int(USERS * serving))
