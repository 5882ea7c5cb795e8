"""Messages between the controllers of one cluster: their status, proxied requests, relayed heartbeats, cached images.

None of these messages is evidence for a decision about tasks, except that a job is cancelled, which is final. A message
that is lost or late costs a wrong figure in a status response or a slower failover.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from .jobs import JOB_ID

#: a job id that is checked when a message is decoded, as it becomes part of keys
JobName = Annotated[str, msgspec.Meta(pattern=f"^{JOB_ID.pattern}")]


class PeerStatus(msgspec.Struct):
    """The status of a controller, request and response of an exchange that takes place about every second.

    Attributes:
        name: Name of the sender.
        token: Fencing token of the sender if it leads, else 0.
        state_age_s: Seconds since the key-value store last answered the sender.
        counts: From the leader: by job id, the numbers of done and of running tasks.
        load: Load state of the sender, a value of `LoadState`.
        workers_age_s: Seconds since a worker last sent a heartbeat to the sender; negative if none ever has.
        samples: From the leader: addresses of some workers with recent heartbeats, for others to probe their own links.
        incarnation: Random number of the sender's process; with another one, what an earlier process has said is void.
        cancelled: Ids of jobs whose cancellation the sender has recently confirmed to users. A cancellation is final,
            however late the message arrives.
        kept: Number of workers that send their heartbeats to the sender.
        room: Number of further workers that the sender's sockets suffice for; negative if it answers none, as it
            neither leads nor reaches a leader to relay heartbeats to.
        reports: Heartbeats that the sender has recently answered per second.
        spread: From the leader: number of machines whose heartbeats all controllers share; 0 if the leader answers all.
    """

    name: str
    token: int
    state_age_s: float
    counts: dict[str, tuple[int, int]] = {}
    load: int = 0
    workers_age_s: float = -1.0
    samples: list[str] = []
    incarnation: int = 0
    cancelled: list[JobName] = []
    kept: int = 0
    room: int = -1
    reports: float = 0.0
    spread: int = 0


class ResignationNotice(msgspec.Struct):
    """Says that the sender has given up a fencing token for good, so that its leader key may be deleted.

    Attributes:
        name: Name of the sender.
        token: The fencing token that it had.
        heir: Name of the controller that should lead next in the sender's view, or empty.
    """

    name: str
    token: int
    heir: str = ""


class ProxiedRequest(msgspec.Struct):
    """A request to the key-value store that the receiver should send once on behalf of the sender, or refuse.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: Body of the request.
        timeout_ms: Limit on the request in milliseconds.
    """

    method: str
    path: str
    body: bytes
    timeout_ms: int


class ProxiedResponse(msgspec.Struct):
    """The store's response to a `ProxiedRequest`.

    Attributes:
        status: HTTP status; 503 if the request was not sent; 0 if there was no response, so that it may have been
            executed, or may be executed later.
        body: Body of the response.
    """

    status: int
    body: bytes


class HeartbeatBatch(msgspec.Struct):
    """Heartbeats that a controller relays to the leader, which are never relayed further.

    Attributes:
        sender: Name of the relaying controller.
        reports: The bodies of the heartbeats as the workers sent them.
    """

    sender: str
    reports: list[bytes]


class HeartbeatBatchResponse(msgspec.Struct):
    """The leader's response to a `HeartbeatBatch`.

    Attributes:
        answers: Status and body of the response to each heartbeat, in the order of the batch. Status 421 means that the
            receiver does not lead, 503 that it may not answer this heartbeat now.
        late: Whether the leader is overloaded, so that the sender should refuse heartbeats rather than let them wait.
    """

    answers: list[tuple[int, bytes]]
    late: bool = False


class CachedImages(msgspec.Struct):
    """Which images the machines are thought to have cached; a new leader starts from it.

    Attributes:
        names: Names of the images.
        gigabytes: Sizes of the images, in the order of `names`.
        machines: By machine name, the positions of its images in `names`.
    """

    names: list[str] = []
    gigabytes: list[float] = []
    machines: dict[str, list[int]] = {}
