"""The leader's side of the heartbeat relay: responds to every heartbeat in a batch from a follower."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import TypeVar

import gevent
import msgspec

from ..errors import GrebestandError
from ..flow_control.connection_limits import MAX_BATCHES_IN_FLIGHT
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from ..leader.heartbeat_handler import PendingResponse
from ..leader.term import Term
from ..log_events import LogEvent
from ..state_machines import LoadState
from ..wire.jobs import MalformedError
from ..wire.peers import HeartbeatBatch, HeartbeatBatchResponse
from ..wire.workers import Heartbeat, HeartbeatResponse
from .forwarder import BATCH_TIMEOUT_S, MAX_BATCH_BYTES, MAX_BATCH_HEARTBEATS, REFUSED, Response

log = logging.getLogger(__name__)

#: Time after which heartbeat processing yields to other greenlets, in seconds.
SLICE_S = 0.01
#: Shortest interval between two log entries about refused batches, in seconds.
REFUSAL_LOG_INTERVAL_S = 10.0
#: Largest size of a heartbeat, in bytes.
MAX_HEARTBEAT_BYTES = 1 << 16
#: Length to which the name of an unknown sender is cut in the error text, in characters.
MAX_SENDER_CHARS = 100
#: Response to a heartbeat while this controller is not the leader.
NOT_LEADER: Response = (421, b"")

Item = TypeVar("Item")

_json = msgspec.json.Encoder()
_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


class BatchRefusedError(GrebestandError):
    """A message is not a valid batch from another controller of this cluster."""


class UnknownSenderError(BatchRefusedError):
    """The sender named in a batch is not a controller of this cluster."""

    def __init__(self, sender: str) -> None:
        self.sender = sender
        super().__init__(f"{sender[:MAX_SENDER_CHARS]!r} is no controller of this cluster")


class BatchTooLargeError(BatchRefusedError):
    """A batch exceeds the largest number of heartbeats or bytes that a controller sends in a batch."""

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
    """Answers the heartbeats in batches from followers, or refuses them unless this controller is the leader."""

    def __init__(
        self,
        senders: Collection[str],
        election: LeaderElection,
        term: Callable[[], Term | None],
        overload_monitor: OverloadMonitor,
        clock: Callable[[], float],
        wait_for_records: Callable[[], object],
    ) -> None:
        """Create a receiver that has received no batch.

        Args:
            senders: Names of the other controllers.
            election: The election, which knows whether this controller is the leader.
            term: Returns the current term while this controller is the leader, else None.
            overload_monitor: Measures the load of this controller.
            clock: Monotonic clock, in seconds.
            wait_for_records: Waits until a new leader has loaded its records, for a limited time.
        """
        self.senders = frozenset(senders)
        self.election = election
        self.term = term
        self.overload_monitor = overload_monitor
        self.clock = clock
        self.wait_for_records = wait_for_records
        #: Number of batches that are being processed.
        self.batches_in_progress = 0
        #: Number of heartbeats received from other controllers since the process started.
        self.heartbeats_received = 0
        self._refusal_logged_at = -math.inf

    def answer(self, body: bytes) -> bytes:
        """Process a batch and return the encoded `HeartbeatBatchResponse`.

        Args:
            body: The encoded `HeartbeatBatch`.

        Raises:
            BatchRefusedError: The body is not a valid batch from another controller.
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
        # senders stop filling a batch only after it has reached MAX_BATCH_BYTES, so the last heartbeat may exceed that
        if (
            len(batch.heartbeats) > MAX_BATCH_HEARTBEATS
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
        """Return the responses to a batch; refuse all of its heartbeats if too many batches are in progress."""
        overloaded = self.overload_monitor.state is LoadState.OVERLOADED
        in_progress, senders = self.batches_in_progress, len(self.senders)
        if (overloaded and in_progress > senders) or in_progress >= MAX_BATCHES_IN_FLIGHT * max(1, senders):
            return HeartbeatBatchResponse([REFUSED] * len(batch.heartbeats), overloaded=True)
        self.batches_in_progress += 1
        try:
            self.heartbeats_received += len(batch.heartbeats)
            return HeartbeatBatchResponse(self._answer_heartbeats(batch.heartbeats), overloaded=overloaded)
        finally:
            self.batches_in_progress -= 1

    def _answer_heartbeats(self, bodies: list[bytes]) -> list[Response]:
        """Return the responses to heartbeats.

        Waiting for the grants of task starts once for the whole batch, instead of once for each heartbeat, keeps the
        batch within the time that its sender waits for.
        """
        received_at = self.clock()
        self.election.check_clock()
        self.wait_for_records()
        term = self.term()
        if term is None:
            return [NOT_LEADER] * len(bodies)
        responses = [REFUSED] * len(bodies)
        pending = self._apply_heartbeats(term, bodies, received_at, responses)
        if self.clock() - received_at > BATCH_TIMEOUT_S:
            return responses
        term.wait_for_grants(pending.values())
        self._finish_responses(term, pending, received_at, responses)
        # a later response repeats the start commands of a response that is replaced by a refusal here
        self.election.check_clock()
        if not self.election.is_leader() or self.term() is not term:
            return [REFUSED if status == 200 else (status, body) for status, body in responses]
        return responses

    def _apply_heartbeats(
        self, term: Term, bodies: list[bytes], received_at: float, responses: list[Response]
    ) -> dict[int, PendingResponse | HeartbeatResponse | None]:
        """Apply heartbeats to the leader's state, and return the unfinished responses by index in the batch.

        Malformed heartbeats receive their final response here, in `responses`.
        """
        pending = {}
        for i, body in self._in_slices(enumerate(bodies), received_at):
            try:
                if len(body) > MAX_HEARTBEAT_BYTES:
                    raise MalformedError("the report is too large")
                pending[i] = term.begin_heartbeat(_heartbeat_decoder.decode(body))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, MalformedError) as error:
                responses[i] = 400, _json.encode({"error": str(error)})
            except Exception:
                # a heartbeat whose processing fails must not affect the other heartbeats of the batch
                log.exception(LogEvent("forwarded_heartbeat_failed"))
        return pending

    def _finish_responses(
        self,
        term: Term,
        pending: dict[int, PendingResponse | HeartbeatResponse | None],
        received_at: float,
        responses: list[Response],
    ) -> None:
        """Write the finished responses to `responses`; heartbeats that may not be answered any more stay refused."""
        for i, unfinished in self._in_slices(pending.items(), received_at):
            response = term.finish_heartbeat(unfinished) if isinstance(unfinished, PendingResponse) else unfinished
            if response is not None:
                responses[i] = 200, _json.encode(response)

    def _in_slices(self, items: Iterable[Item], received_at: float) -> Iterator[Item]:
        """Yield the items until the sender of the batch has timed out, and let other greenlets run in between."""
        slice_began_at = self.clock()
        for item in items:
            if self.clock() - slice_began_at > SLICE_S:
                gevent.sleep(0)
                slice_began_at = self.clock()
            if slice_began_at - received_at > BATCH_TIMEOUT_S:
                return
            yield item
