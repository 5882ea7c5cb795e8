"""What controllers tell each other: who leads, whether the state service is reached, jobs' counts, cached images.

Nothing here is authority. A lost or late message costs a wrong figure on display or a slower takeover.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from .jobs import JOB_ID

JobName = Annotated[str, msgspec.Meta(pattern=f"^{JOB_ID.pattern}")]


class PeerStatus(msgspec.Struct):
    """Sent about once a second both ways."""

    name: str
    token: int
    state_age_s: float
    counts: dict[str, tuple[int, int]] = {}
    #: how far it is behind, a `LoadState`
    load: int = 0
    #: seconds since a worker last reported to it, whatever it was answered; negative: none has
    workers_age_s: float = -1.0
    #: from the leader: addresses of some workers that reported to it lately, for others to see whether they reach them
    samples: list[str] = []
    #: drawn anew at each start: what an earlier process of the same name said is over
    incarnation: int = 0
    #: jobs that users were told lately, by the sender, are cancelled; true for ever, however late this comes
    cancelled: list[JobName] = []
    #: workers that report to it, and how many more its sockets bear; negative: it answers none, as it does not lead and
    #: reaches no leader to pass reports on to
    kept: int = 0
    room: int = -1
    #: reports that it answers a second, of late
    reports: float = 0.0
    #: from the leader: the machines whose reports every controller answers; 0: the leader answers all itself
    spread: int = 0


class ResignationNotice(msgspec.Struct):
    """The sender has stopped using this token for good: its key may be removed."""

    name: str
    token: int
    #: who is to lead next, as far as the sender can tell
    heir: str = ""


class ProxiedRequest(msgspec.Struct):
    """A request to the state service that its sender cannot make itself: to be made once, or refused."""

    method: str
    path: str
    body: bytes
    timeout_ms: int


class ProxiedResponse(msgspec.Struct):
    """What the state service said; status 0: nothing, so that it may have been done or may still be."""

    status: int
    body: bytes


class HeartbeatBatch(msgspec.Struct):
    """Workers' reports that a controller passes on to the leader, each as it came; one hop only."""

    sender: str
    reports: list[bytes]


class HeartbeatBatchResponse(msgspec.Struct):
    """The leader's answers, in the order of the batch: status and body as its worker is to get them.

    Status 421: the receiver does not lead; 503: it may not answer this one now.
    """

    answers: list[tuple[int, bytes]]
    #: the sender does well to refuse sooner rather than let reports wait
    late: bool = False


class CachedImages(msgspec.Struct):
    """Which machine is thought to have which images, by their place in `names`; a successor starts from it."""

    names: list[str] = []
    gigabytes: list[float] = []
    machines: dict[str, list[int]] = {}
