"""Messages between the controllers of one cluster: their status, proxied requests, relayed heartbeats, cached images.

Decisions about tasks are based on heartbeats and on the key-value store, not on the other messages in this module. The
only exception is the list of cancelled jobs in a status message, because a cancellation is final. If a message without
heartbeats is lost or late, the worst effects are a wrong number in a job's status and a slower failover.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from .jobs import JOB_ID

#: Job id, checked when a message is decoded because job ids become part of keys in the store
JobName = Annotated[str, msgspec.Meta(pattern=f"^{JOB_ID.pattern}")]


class PeerStatus(
    msgspec.Struct,
    rename={
        "task_counts": "counts",
        "worker_addresses": "samples",
        "kept_workers": "kept",
        "free_connections": "room",
        "heartbeats_per_s": "reports",
        "shared_machines": "spread",
    },
):
    """The status of a controller; controllers exchange their status about once a second.

    Attributes:
        name: Name of the sender.
        token: Fencing token of the sender, 0 if the sender is not the leader.
        state_age_s: Seconds since the sender last received a response from the key-value store.
        task_counts: By job id, the numbers of done and of running tasks; sent by the leader only. `counts` on the wire.
        load: Load state of the sender, as a value of `LoadState`.
        workers_age_s: Seconds since the sender last received a heartbeat from a worker, negative if it received none.
        worker_addresses: Addresses of some workers with recent heartbeats, which the receiver probes to check its own
            network links; sent by the leader only. `samples` on the wire.
        incarnation: Random number that identifies the sender's process. When the number changes, status messages of the
            earlier process are void.
        cancelled: Ids of jobs whose cancellation the sender has recently confirmed to users. A cancellation is
            final, so that the list may arrive late.
        kept_workers: Number of workers that send their heartbeats to the sender; `kept` on the wire.
        free_connections: Number of further workers that the sender has connections for; negative if the sender accepts
            no heartbeats because it neither leads nor reaches a leader to relay them to. `room` on the wire.
        heartbeats_per_s: Rate at which the sender has recently answered heartbeats; `reports` on the wire.
        shared_machines: Number of machines whose heartbeats are divided among all controllers, 0 if all heartbeats go
            to the leader; sent by the leader only. `spread` on the wire.
    """

    name: str
    token: int
    state_age_s: float
    task_counts: dict[str, tuple[int, int]] = {}
    load: int = 0
    workers_age_s: float = -1.0
    worker_addresses: list[str] = []
    incarnation: int = 0
    cancelled: list[JobName] = []
    kept_workers: int = 0
    free_connections: int = -1
    heartbeats_per_s: float = 0.0
    shared_machines: int = 0


class ResignationNotice(msgspec.Struct, rename={"successor": "heir"}):
    """Announces that the sender will never use its fencing token again, so that its leader key may be deleted.

    Attributes:
        name: Name of the sender.
        token: Fencing token of the term that the sender has ended.
        successor: Name of the controller that the sender proposes as the next leader, or empty; `heir` on the wire.
    """

    name: str
    token: int
    successor: str = ""


class ProxiedRequest(msgspec.Struct):
    """A request to the key-value store that the receiver sends at most once on behalf of the sender.

    Attributes:
        method: HTTP method.
        path: Path and query of the URL.
        body: Body of the request.
        timeout_ms: Time limit of the request in milliseconds.
    """

    method: str
    path: str
    body: bytes
    timeout_ms: int


class ProxiedResponse(msgspec.Struct):
    """The store's response to a `ProxiedRequest`.

    Attributes:
        status: HTTP status of the store's response; 503 if the request was not sent; 0 if no response arrived, in which
            case the store may have executed the request or may execute it later.
        body: Body of the store's response.
    """

    status: int
    body: bytes


class HeartbeatBatch(msgspec.Struct, rename={"heartbeats": "reports"}):
    """Heartbeats that a controller forwards to the leader; the receiver never forwards them again.

    Attributes:
        sender: Name of the controller that forwards the heartbeats.
        heartbeats: Bodies of the heartbeats as sent by the workers; `reports` on the wire.
    """

    sender: str
    heartbeats: list[bytes]


class HeartbeatBatchResponse(msgspec.Struct, rename={"responses": "answers", "overloaded": "late"}):
    """The leader's response to a `HeartbeatBatch`.

    Attributes:
        responses: Status and body of the response to each heartbeat, in the order of the batch. Status 421 means that
            the receiver of the batch is not the leader, 503 that the leader cannot answer the heartbeat now. `answers`
            on the wire.
        overloaded: Whether the leader is overloaded, so that followers should refuse heartbeats instead of queueing
            them; `late` on the wire.
    """

    responses: list[tuple[int, bytes]]
    overloaded: bool = False


class CachedImages(msgspec.Struct):
    """The images that the sender believes to be cached on each machine; a new leader starts from this information.

    Attributes:
        names: Names of the images.
        gigabytes: Sizes of the images in gigabytes, in the order of `names`.
        machines: By machine name, the indexes in `names` of the images cached on the machine.
    """

    names: list[str] = []
    gigabytes: list[float] = []
    machines: dict[str, list[int]] = {}
