"""The distribution of a controller's sockets over the kinds of connections.

Each kind of connection has a limit of its own, so that no kind can exhaust the sockets that another kind needs.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..settings.platform import ProcessLimits

#: connections to the key-value store for requests
STORE_REQUEST_CONNECTIONS = 24
#: connections to the key-value store for watches
STORE_WATCH_CONNECTIONS = 4
#: connections to the cloud
CLOUD_CONNECTIONS = 4
#: connections in each direction for status exchange, per peer
STATUS_CONNECTIONS_PER_PEER = 2
#: Maximum number of proxied requests to the key-value store in progress. A requesting controller opens up to this many
#: connections to its proxy, and a proxy executes at most this many requests at a time.
MAX_PROXIED_REQUESTS = 24
#: batches of heartbeats that one controller may have in flight to the leader
MAX_BATCHES_IN_FLIGHT = 4
#: Number of peers to which connections for proxied requests may be open at a time. After a change of the proxy, the
#: connections to the previous one may still be open.
MAX_PROXIES = 2
#: connections for commands that are sent directly to workers
MAX_DIRECT_COMMANDS = 100
#: direct commands get at most the quota of connections divided by this
DIRECT_COMMANDS_DIVISOR = 12
#: file descriptors for listeners, files and the event loop
RESERVED_FILE_DESCRIPTORS = 48
#: Connections that are accepted beyond the served ones. Their clients get one response at once, which redirects them or
#: asks them to retry later.
MAX_SURPLUS_CONNECTIONS = 32
#: surplus connections get at most the quota of connections divided by this
SURPLUS_DIVISOR = 32
#: connections that the kernel queues until they are accepted
MAX_BACKLOG = 128
#: the backlog gets at most the quota of connections divided by this
BACKLOG_DIVISOR = 16
#: Minimum number of served connections, even if the quota leaves fewer. A controller with fewer connections could do no
#: useful work.
MIN_SERVING = 50
#: share of the served connections that is reserved for users
USER_SHARE = 0.125


@dataclass(frozen=True)
class ConnectionPlan:
    """Maximum number of connections of each kind.

    All kinds together stay within the quota of the controller, unless the quota leaves fewer than `MIN_SERVING` served
    connections.

    Attributes:
        peers: Connections to all peers, which are the other controllers of the cluster.
        from_peers: Connections from all peers. Any peer may use this controller as its proxy to the key-value store,
            and may send a new request while the connection of one that timed out is still open.
        direct: Connections to workers, for direct commands.
        serving: Connections from workers and users that are served.
        surplus: Surplus connections from workers and users beyond `serving`. Each gets one response and is closed.
        backlog: Connections that the kernel queues until they are accepted.
        workers: The part of `serving` that workers may use.
    """

    peers: int
    from_peers: int
    direct: int
    serving: int
    surplus: int
    backlog: int
    workers: int


def plan_connections(quota: ProcessLimits, peer_count: int) -> ConnectionPlan:
    """Return the distribution of a controller's connections.

    Args:
        quota: Resource limits of the controller.
        peer_count: Number of other controllers in the cluster.
    """
    max_connections = quota.max_connections
    peers = (
        peer_count * (STATUS_CONNECTIONS_PER_PEER + MAX_BATCHES_IN_FLIGHT)
        + min(peer_count, MAX_PROXIES) * MAX_PROXIED_REQUESTS
    )
    from_peers = peer_count * (STATUS_CONNECTIONS_PER_PEER + MAX_PROXIED_REQUESTS + MAX_BATCHES_IN_FLIGHT)
    direct = min(MAX_DIRECT_COMMANDS, max_connections // DIRECT_COMMANDS_DIVISOR)
    surplus = min(MAX_SURPLUS_CONNECTIONS, max_connections // SURPLUS_DIVISOR)
    backlog = min(MAX_BACKLOG, max_connections // BACKLOG_DIVISOR)
    store_and_cloud = STORE_REQUEST_CONNECTIONS + STORE_WATCH_CONNECTIONS + CLOUD_CONNECTIONS
    reserved = store_and_cloud + peers + from_peers + direct + RESERVED_FILE_DESCRIPTORS + surplus + backlog
    serving = max(MIN_SERVING, max_connections - reserved)
    return ConnectionPlan(
        peers=peers,
        from_peers=from_peers,
        direct=direct,
        serving=serving,
        surplus=surplus,
        backlog=backlog,
        workers=serving - int(USER_SHARE * serving),
    )
