"""The messages between two clusters, and the checks that each received message has to pass before it is processed.

The cluster that owns a gang is its home cluster; a cluster that runs gangs of others is a guest cluster. The guest
cluster draws a random id for each reservation and never uses an id twice. Only a commit with the id of a valid
reservation starts a gang, so an offer or a commit that the network duplicates or delivers minutes late starts nothing.
"""

from __future__ import annotations

import msgspec

from ..errors import GrebestandError
from ..wire.jobs import JOB_ID, JobSpec, Kind, MalformedError, check_spec

#: Size limit of a message, in bytes; a job specification takes a few hundred bytes.
MAX_MESSAGE_BYTES = 16 * 1024
#: Limit on the length of a cluster's name, in characters.
MAX_NAME_LENGTH = 100
#: Limit on the number of clusters in the path of a reservation request.
MAX_PATH_LENGTH = 8
#: Limit on the number of image names in the reply to a probe.
MAX_IMAGES = 32
#: Length of a reservation id, in characters: 16 bytes as hexadecimal digits.
RESERVATION_ID_LENGTH = 32
#: Version of the message format. A cluster with another version is still probed, but receives no offers.
VERSION = 1
#: The reason in an `UncertainReply` from a controller that is not its cluster's leader.
NOT_LEADING = "not leading"


class Probe(msgspec.Struct, tag="look", frozen=True):
    """Requests a cluster's free capacity, so that a gang is offered first to the cluster most likely to accept it.

    Attributes:
        home: Name of the sender's cluster.
        version: Version of the sender's message format.
    """

    home: str
    version: int


class ReservationRequest(msgspec.Struct, tag="offer", frozen=True):
    """Offers a gang: requests a reservation of machines for all its tasks. No task may start before a `Commit`.

    Attributes:
        home: Name of the sender's cluster.
        spec: Specification of the gang.
        path: Names of the clusters through which the gang has been offered, the home cluster first.
    """

    home: str
    spec: JobSpec
    path: list[str]


class _ReservationMessage(msgspec.Struct, frozen=True):
    """A message about one reservation.

    Attributes:
        home: Name of the sender's cluster.
        job_id: The gang's job id in the sender's cluster.
        reservation_id: The reservation's id, as drawn by the guest cluster.
    """

    home: str
    job_id: str = msgspec.field(name="ref")
    reservation_id: str = msgspec.field(name="id")


class Commit(_ReservationMessage, tag="commit", frozen=True):
    """Tells the guest cluster that home has recorded its decision for this reservation: the gang may start."""


class StatusQuery(_ReservationMessage, tag="ask", frozen=True):
    """Requests the status of a gang."""


class Recall(_ReservationMessage, tag="recall", frozen=True):
    """Ends a reservation or a gang.

    The reply says how the gang ended, or confirms that the gang never starts under this reservation.
    """


class Forget(_ReservationMessage, tag="forget", frozen=True):
    """Tells the guest cluster that home has recorded the gang's end: the guest cluster may remove its own record."""


Message = Probe | ReservationRequest | Commit | StatusQuery | Recall | Forget


class FreeCapacity(msgspec.Struct, tag="room", frozen=True):
    """Reply to `Probe`.

    Attributes:
        version: Version of the sender's message format.
        free_machines: Number of schedulable machines without tasks and without a reservation.
        max_cpus: Number of CPUs of the largest free machine.
        price_per_cpu_hour: Average price of one CPU for one hour.
        images: Names of the images that are present on the most machines.
    """

    version: int
    free_machines: int = msgspec.field(name="free")
    max_cpus: float = msgspec.field(name="cpus")
    price_per_cpu_hour: float = msgspec.field(name="price")
    images: list[str] = []


class Reserved(msgspec.Struct, tag="reserved", frozen=True):
    """Reply to `ReservationRequest`: machines are reserved.

    Attributes:
        reservation_id: The reservation's id.
        duration_s: How long the reservation is valid by the guest cluster's clock, in seconds.
    """

    reservation_id: str = msgspec.field(name="id")
    duration_s: float = msgspec.field(name="for_s")


class Rejection(msgspec.Struct, tag="refused", frozen=True):
    """Reply that rejects a message. If the message is about a reservation, nothing starts under that reservation's id.

    Attributes:
        reason: Why the message is rejected.
    """

    reason: str = msgspec.field(name="why")


class Running(msgspec.Struct, tag="running", frozen=True):
    """Reply about a gang that is a live job of the guest cluster, or is being accepted as one.

    Attributes:
        running: Number of the gang's tasks that are running.
    """

    running: int


class Ended(msgspec.Struct, tag="ended", frozen=True):
    """Reply about a gang that has ended in the guest cluster and has no tasks left there.

    Attributes:
        done: Whether all tasks completed; if not, the guest cluster has returned the gang to its home cluster.
    """

    done: bool


class UncertainReply(msgspec.Struct, tag="unsure", frozen=True):
    """Reply of a controller that cannot process the message now; the receiver must not conclude anything from it.

    Attributes:
        reason: Why the message cannot be processed.
        leader: Name of the controller that leads the replying cluster, if known and not the replying controller.
    """

    reason: str = msgspec.field(name="why")
    leader: str | None = None


Reply = FreeCapacity | Reserved | Rejection | Running | Ended | UncertainReply

_message_decoder = msgspec.msgpack.Decoder(Message)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


class InvalidMessageError(GrebestandError, ValueError):
    """A message is too large, malformed or not allowed; no state was changed.

    Attributes:
        reason: What is wrong with the message.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


def decode(body: bytes) -> Message:
    """Decode and check a message.

    The length is checked before decoding, to bound the memory that a message can use.

    Args:
        body: The message as received.

    Returns:
        The decoded message.

    Raises:
        InvalidMessageError: The message is too long, malformed or not allowed.
    """
    if len(body) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError(f"a message of {len(body)} bytes, {MAX_MESSAGE_BYTES} are allowed")
    try:
        message = _message_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"malformed: {error}") from error
    if not 0 < len(message.home) <= MAX_NAME_LENGTH or not message.home.isprintable():
        raise InvalidMessageError("the home's name is empty, too long or unprintable")
    if isinstance(message, ReservationRequest):
        _check_request(message)
    elif not isinstance(message, Probe):
        _check_reservation_message(message)
    return message


def _check_request(request: ReservationRequest) -> None:
    too_long = len(request.path) > MAX_PATH_LENGTH
    if too_long or any(not 0 < len(name) <= MAX_NAME_LENGTH for name in request.path):
        raise InvalidMessageError("the path is too long")
    try:
        check_spec(request.spec)
    except MalformedError as error:
        raise InvalidMessageError(str(error)) from error
    if request.spec.kind is not Kind.GANG:
        raise InvalidMessageError("only gangs are offered")


def _check_reservation_message(message: _ReservationMessage) -> None:
    if not JOB_ID.match(message.job_id) or len(message.reservation_id) != RESERVATION_ID_LENGTH:
        raise InvalidMessageError("malformed reference or reservation")


def decode_reply(body: bytes) -> Reply:
    """Decode a reply.

    Args:
        body: The reply as received.

    Returns:
        The decoded reply.

    Raises:
        InvalidMessageError: The reply is too long or malformed.
    """
    if len(body) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("an answer that is too long")
    try:
        return _reply_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"malformed answer: {error}") from error
