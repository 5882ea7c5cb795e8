"""What two clusters tell each other, and the bounds that a message has to keep before anything is done with it.

A reservation's id is drawn by the guest and names that one reservation for ever. Only it lets a commit start anything,
so that an offer or a commit that the network delivers again, or minutes late, finds nothing to start.
"""

from __future__ import annotations

import msgspec

from ..wire.jobs import JOB_ID, JobSpec, Kind, MalformedError, check_spec

#: a message may be this long, in bytes; a description of a job is a few hundred
MOST_BYTES = 16 * 1024
#: names of clusters, and clusters that a gang may have passed through
MOST_NAME, MOST_PATH = 100, 8
#: names of images that a cluster tells it has
MOST_IMAGES = 32
#: of these messages; clusters of another version are told nothing but this
VERSION = 1


#: what a controller says that does not lead
NOT_LEADING = "not leading"


class Probe(msgspec.Struct, tag="look", frozen=True):
    """What room do you have? Asked now and then, so that the likeliest cluster is offered a gang first."""

    home: str
    version: int


class ReservationRequest(msgspec.Struct, tag="offer", frozen=True):
    """Would you keep room for this gang, whole? Nothing may be started for it."""

    home: str
    spec: JobSpec
    #: clusters that it has been offered through, home first
    path: list[str]


class _About(msgspec.Struct, frozen=True):
    """What is said of one reservation."""

    home: str
    ref: str
    id: str


class Commit(_About, tag="commit", frozen=True):
    """Home has decided, durably, for this reservation: the proof that it may start."""


class StatusQuery(_About, tag="ask", frozen=True):
    """How does it go?"""


class Recall(_About, tag="recall", frozen=True):
    """End it, whatever it is; the answer says how it ended, or proves that it never starts."""


class Forget(_About, tag="forget", frozen=True):
    """Home has its durable record of the end: the guest's may go."""


Message = Probe | ReservationRequest | Commit | StatusQuery | Recall | Forget


class FreeCapacity(msgspec.Struct, tag="room", frozen=True):
    """Reply to `Probe`: what a gang would find."""

    version: int
    #: empty machines that take work, and the CPUs of the largest of them
    free: int
    cpus: float
    #: of a CPU for an hour, on average
    price: float
    #: names of those that most machines have
    images: list[str] = []


class Reserved(msgspec.Struct, tag="reserved", frozen=True):
    """Reply to `ReservationRequest`: machines are reserved."""

    id: str
    #: room is kept for so many seconds by the guest's clock
    for_s: float


class Rejection(msgspec.Struct, tag="refused", frozen=True):
    """Not taken; for a commit, an ask or a recall it also proves that nothing starts under this id any more."""

    why: str


class Running(msgspec.Struct, tag="running", frozen=True):
    """It is a job of the guest's; so many of its tasks run."""

    running: int


class Ended(msgspec.Struct, tag="ended", frozen=True):
    """It is over there: done, or else the guest has given it back and no task of it is left."""

    done: bool


class UncertainReply(msgspec.Struct, tag="unsure", frozen=True):
    """Cannot be told now, or not by this controller; nothing follows from it."""

    why: str
    #: the controller that leads there, if it is known and another
    leader: str | None = None


Reply = FreeCapacity | Reserved | Rejection | Running | Ended | UncertainReply

_message = msgspec.msgpack.Decoder(Message)
_reply = msgspec.msgpack.Decoder(Reply)


class InvalidMessageError(ValueError):
    """A message that is too large, malformed or not allowed; it has changed nothing."""


def decode(body: bytes) -> Message:
    """The message, or `InvalidMessageError`. Bounds are held before decoding, so that nothing large is ever built."""
    if len(body) > MOST_BYTES:
        raise InvalidMessageError(f"a message of {len(body)} bytes, {MOST_BYTES} are allowed")
    try:
        found = _message.decode(body)
    except (msgspec.DecodeError, RecursionError) as e:
        raise InvalidMessageError(f"malformed: {e}") from e
    if not 0 < len(found.home) <= MOST_NAME or not found.home.isprintable():
        raise InvalidMessageError("the home's name is empty, too long or unprintable")
    if isinstance(found, ReservationRequest):
        if len(found.path) > MOST_PATH or any(not 0 < len(name) <= MOST_NAME for name in found.path):
            raise InvalidMessageError("the path is too long")
        try:
            check_spec(found.spec)
        except MalformedError as e:
            raise InvalidMessageError(str(e)) from e
        if found.spec.kind is not Kind.GANG:
            raise InvalidMessageError("only gangs are offered")
    elif not isinstance(found, Probe) and (not JOB_ID.match(found.ref) or len(found.id) != 32):
        raise InvalidMessageError("malformed reference or reservation")
    return found


def decode_reply(body: bytes) -> Reply:
    """Decode a reply; raise `InvalidMessageError` if it is too long or malformed."""
    if len(body) > MOST_BYTES:
        raise InvalidMessageError("an answer that is too long")
    try:
        return _reply.decode(body)
    except (msgspec.DecodeError, RecursionError) as e:
        raise InvalidMessageError(f"malformed answer: {e}") from e
