"""The leader's side of the relay: reads batches of forwarded heartbeats and answers each of them."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import TypeVar

import gevent
import msgspec

from ..errors import GrebestandError
from ..flow_control.connection_limits import BATCHES
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from ..leader.heartbeat_handler import PendingResponse
from ..leader.term import Term
from ..log_events import LogEvent
from ..state_machines import LoadState
from ..wire.jobs import MalformedError
from ..wire.peers import HeartbeatBatch, HeartbeatBatchResponse
from ..wire.workers import Heartbeat, HeartbeatResponse
from .forwarder import BATCH_TIMEOUT_S, MAX_BATCH_BYTES, MOST_REPORTS, REFUSED, Response

log = logging.getLogger(__name__)

#: Heartbeats are read for this long before other greenlets have their turn.
SLICE_S = 0.01
#: Refused batches are logged this often at most.
REFUSAL_LOG_INTERVAL_S = 10.0
#: The largest body of one heartbeat.
MAX_HEARTBEAT_BYTES = 1 << 16
#: How much of an unknown sender's name is repeated to it.
MAX_SENDER_CHARS = 100
#: The response while this controller does not lead.
NOT_LEADER: Response = (421, b"")

T = TypeVar("T")

_json = msgspec.json.Encoder()
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


class BatchRefusedError(GrebestandError):
    """A message is not a batch that another controller may send."""


class UnknownSenderError(BatchRefusedError):
    """A batch names a sender that is not a controller of this cluster."""

    def __init__(self, sender: str) -> None:
        self.sender = sender
        super().__init__(f"{sender[:MAX_SENDER_CHARS]!r} is no controller of this cluster")


class BatchTooLargeError(BatchRefusedError):
    """A batch has more heartbeats or bytes than a controller sends at once."""

    def __init__(self, sender: str, heartbeats: int) -> None:
        self.sender = sender
        self.heartbeats = heartbeats
        super().__init__(f"{sender} sent {heartbeats} reports at once")


class MalformedBatchError(BatchRefusedError):
    """A message could not be decoded as a batch."""

    def __init__(self, error: msgspec.DecodeError) -> None:
        self.error = error
        super().__init__(str(error))


class BatchReceiver:
    """Answers batches of heartbeats under this controller's term, or says of each that it may not."""

    def __init__(
        self,
        senders: Collection[str],
        election: LeaderElection,
        term: Callable[[], Term | None],
        load: OverloadMonitor,
        clock: Callable[[], float],
        wait: Callable[[], object],
    ) -> None:
        """Begin with no batch read.

        Args:
            senders: Names of the other controllers.
            election: Says whether this controller leads.
            term: Its term, while it leads.
            load: Its load.
            clock: The present time, in seconds.
            wait: Returns once its records have been read.
        """
        self.senders = frozenset(senders)
        self.election = election
        self.term = term
        self.load = load
        self.clock = clock
        self.wait = wait
        #: How many batches are being answered.
        self.busy = 0
        #: How many heartbeats other controllers have forwarded.
        self.reports = 0
        self._refusal_logged_at = -math.inf

    def answer(self, body: bytes) -> bytes:
        """Return the responses to a batch, in its order.

        Raises:
            BatchRefusedError: The body is no batch of another controller.
        """
        try:
            batch = self._decode(body)
        except BatchRefusedError as error:
            self._log_refusal(error)
            raise
        return msgspec.msgpack.encode(self._respond(batch))

    def _decode(self, body: bytes) -> HeartbeatBatch:
        try:
            batch = msgspec.msgpack.decode(body, type=HeartbeatBatch)
        except msgspec.DecodeError as error:
            raise MalformedBatchError(error) from error
        if batch.sender not in self.senders:
            raise UnknownSenderError(batch.sender)
        # the last heartbeat of a batch may exceed the limit that the sender stops at
        if (
            len(batch.heartbeats) > MOST_REPORTS
            or sum(map(len, batch.heartbeats)) > MAX_BATCH_BYTES + MAX_HEARTBEAT_BYTES
        ):
            raise BatchTooLargeError(batch.sender, len(batch.heartbeats))
        return batch

    def _log_refusal(self, error: BatchRefusedError) -> None:
        now = self.clock()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            log.warning(LogEvent("heartbeat_batch_refused", reason=error))

    def _respond(self, batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        """Return the responses to a batch; all are refused while too many batches are being answered."""
        overloaded = self.load.state is LoadState.OVERLOADED
        if (overloaded and self.busy > len(self.senders)) or self.busy >= BATCHES * max(1, len(self.senders)):
            return HeartbeatBatchResponse([REFUSED] * len(batch.heartbeats), overloaded=True)
        self.busy += 1
        try:
            self.reports += len(batch.heartbeats)
            return HeartbeatBatchResponse(self._handle(batch.heartbeats), overloaded=overloaded)
        finally:
            self.busy -= 1

    def _handle(self, bodies: list[bytes]) -> list[Response]:
        """Read all heartbeats, wait once for the grants that their starts need, then answer as many as it still may."""
        came_at = self.clock()
        self.election.check_clock()
        self.wait()
        term = self.term()
        if term is None:
            return [NOT_LEADER] * len(bodies)
        responses = [REFUSED] * len(bodies)
        begun = self._begin(term, bodies, came_at, responses)
        if self.clock() - came_at > BATCH_TIMEOUT_S:
            return responses
        term.cover_heartbeats(begun.values())
        self._finish(term, begun, came_at, responses)
        # start commands in a response that does not leave are sent again, as if lost on the way
        self.election.check_clock()
        if not self.election.is_leader() or self.term() is not term:
            return [REFUSED if status == 200 else (status, body) for status, body in responses]
        return responses

    def _begin(
        self, term: Term, bodies: list[bytes], came_at: float, responses: list[Response]
    ) -> dict[int, PendingResponse | HeartbeatResponse | None]:
        """Reconcile the heartbeats, and return by index what is to become of each; malformed ones are answered here."""
        begun = {}
        for i, body in self._in_slices(enumerate(bodies), came_at):
            try:
                if len(body) > MAX_HEARTBEAT_BYTES:
                    raise MalformedError("the report is too large")
                begun[i] = term.begin_heartbeat(_heartbeat_decoder.decode(body))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, MalformedError) as error:
                responses[i] = 400, _json.encode({"error": str(error)})
            except Exception:
                # one heartbeat that can't be dealt with leaves the others as they are
                log.exception(LogEvent("forwarded_heartbeat_failed"))
        return begun

    def _finish(
        self,
        term: Term,
        begun: dict[int, PendingResponse | HeartbeatResponse | None],
        came_at: float,
        responses: list[Response],
    ) -> None:
        """Write the responses to the heartbeats that were begun, as long as they may be answered."""
        for i, pending in self._in_slices(begun.items(), came_at):
            response = term.finish_heartbeat(pending) if isinstance(pending, PendingResponse) else pending
            if response is not None:
                responses[i] = 200, _json.encode(response)

    def _in_slices(self, items: Iterable[T], came_at: float) -> Iterator[T]:
        """Yield the items, with turns for other greenlets in between, until the sender of the batch has given it up."""
        slice_began_at = self.clock()
        for item in items:
            if self.clock() - slice_began_at > SLICE_S:
                gevent.sleep(0)
                slice_began_at = self.clock()
            if slice_began_at - came_at > BATCH_TIMEOUT_S:
                return
            yield item
