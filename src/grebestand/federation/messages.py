"""The messages between two clusters, and the limits that a message is checked against before it is acted on.

A reservation's id is drawn by the guest and never used again. Only a commit with that id starts anything, so that an
offer or a commit which the network delivers again, or minutes late, finds nothing to start.
"""

from __future__ import annotations

import msgspec

from ..errors import GrebestandError
from ..wire.jobs import JOB_ID, JobSpec, Kind, MalformedError, check_spec

#: the longest message; a description of a job takes a few hundred bytes
MAX_MESSAGE_BYTES = 16 * 1024
#: the longest name of a cluster, in characters
MAX_NAME_LENGTH = 100
#: clusters that a gang may have been offered through
MAX_PATH_LENGTH = 8
#: names of images in the reply to a probe
MAX_IMAGES = 32
#: the length of a reservation's id: 16 bytes in hexadecimal digits
RESERVATION_ID_LENGTH = 32
#: the version of these messages; a cluster of another version is probed and offered nothing
VERSION = 1


#: the reason in the reply of a controller that does not lead
NOT_LEADING = "not leading"


class Probe(msgspec.Struct, tag="look", frozen=True):
    """Asks for the free capacity, so that a gang is offered first to the cluster that most likely accepts it.

    Attributes:
        home: the sender's cluster.
        version: the version of the sender's messages.
    """

    home: str
    version: int


class ReservationRequest(msgspec.Struct, tag="offer", frozen=True):
    """Offers a gang: asks for machines to be reserved for all of it. Nothing may be started for it.

    Attributes:
        home: the sender's cluster.
        spec: the gang.
        path: the clusters that it has been offered through, home first.
    """

    home: str
    spec: JobSpec
    path: list[str]


class _ReservationMessage(msgspec.Struct, frozen=True):
    """A message about one reservation.

    Attributes:
        home: the sender's cluster.
        ref: the gang's job id there.
        id: the reservation's id.
    """

    home: str
    ref: str
    id: str


class Commit(_ReservationMessage, tag="commit", frozen=True):
    """Home has recorded its decision for this reservation: the gang may start."""


class StatusQuery(_ReservationMessage, tag="ask", frozen=True):
    """Asks for the status of a gang."""


class Recall(_ReservationMessage, tag="recall", frozen=True):
    """Ends a reservation or a gang; the reply says how it ended, or confirms that it never starts."""


class Forget(_ReservationMessage, tag="forget", frozen=True):
    """Home has recorded the end: the guest may remove its record."""


Message = Probe | ReservationRequest | Commit | StatusQuery | Recall | Forget


class FreeCapacity(msgspec.Struct, tag="room", frozen=True):
    """Reply to `Probe`.

    Attributes:
        version: the version of the sender's messages.
        free: machines without tasks that accept work.
        cpus: the CPUs of the largest of them.
        price: of a CPU for an hour, on average.
        images: names of the images that most machines have.
    """

    version: int
    free: int
    cpus: float
    price: float
    images: list[str] = []


class Reserved(msgspec.Struct, tag="reserved", frozen=True):
    """Reply to `ReservationRequest`: machines are reserved.

    Attributes:
        id: the reservation's id.
        for_s: for how many seconds, by the guest's clock.
    """

    id: str
    for_s: float


class Rejection(msgspec.Struct, tag="refused", frozen=True):
    """The message is not accepted. For one about a reservation: nothing starts under its id any more.

    Attributes:
        why: the reason.
    """

    why: str


class Running(msgspec.Struct, tag="running", frozen=True):
    """The gang is a job of the guest cluster.

    Attributes:
        running: how many of its tasks run.
    """

    running: int


class Ended(msgspec.Struct, tag="ended", frozen=True):
    """The gang has ended in the guest cluster, and no task of it is left.

    Attributes:
        done: it is done; otherwise the guest has given it back.
    """

    done: bool


class UncertainReply(msgspec.Struct, tag="unsure", frozen=True):
    """The question cannot be answered now, or not by this controller; nothing follows from it.

    Attributes:
        why: the reason.
        leader: the name of the controller that leads there, if it is known and another.
    """

    why: str
    leader: str | None = None


Reply = FreeCapacity | Reserved | Rejection | Running | Ended | UncertainReply

_message_decoder = msgspec.msgpack.Decoder(Message)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


class InvalidMessageError(GrebestandError, ValueError):
    """A message that is too large, malformed or not allowed; it has changed nothing.

    Attributes:
        reason: what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


def decode(body: bytes) -> Message:
    """Decode and check a message.

    The length is checked before decoding, so that nothing large is ever built.

    Raises:
        InvalidMessageError: it is too long, malformed or not allowed.
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
    if not JOB_ID.match(message.ref) or len(message.id) != RESERVATION_ID_LENGTH:
        raise InvalidMessageError("malformed reference or reservation")


def decode_reply(body: bytes) -> Reply:
    """Decode a reply.

    Raises:
        InvalidMessageError: it is too long or malformed.
    """
    if len(body) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("an answer that is too long")
    try:
        return _reply_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"malformed answer: {error}") from error
