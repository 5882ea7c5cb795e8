"""The leader's side of reports that other controllers pass on: reads them in slices, waits once, answers each."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import TypeVar

import gevent
import msgspec

from ..flow_control.connection_limits import BATCHES
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from ..leader.term import Term
from ..state_machines import LoadState
from ..wire.jobs import MalformedError
from ..wire.peers import HeartbeatBatch, HeartbeatBatchResponse
from ..wire.workers import Heartbeat, HeartbeatResponse
from .forwarder import MOST_BYTES, MOST_REPORTS, SEND_S

log = logging.getLogger(__name__)

#: reports are read for so long before others have their turn, in seconds
SLICE_S = 0.01
#: a batch that nobody may have sent is told of so often at the most, in seconds
TELL_S = 10.0
#: the body of one report, in bytes, at the most
REPORT_BYTES = 1 << 16

T = TypeVar("T")

_json = msgspec.json.Encoder()
_report_decoder = msgspec.json.Decoder(Heartbeat)


class BatchRefusedError(ValueError):
    """A message that is no batch of another controller's."""


class BatchReceiver:
    """Answers batches under this controller's own term, or says of each report that it may not."""

    def __init__(
        self,
        senders: Collection[str],
        election: LeaderElection,
        term: Callable[[], Term | None],
        load: OverloadMonitor,
        clock: Callable[[], float],
        wait: Callable[[], object],
    ) -> None:
        """`senders`: the other controllers by name; `wait` comes back once this controller's records may be read."""
        self.senders = frozenset(senders)
        self.election = election
        self.term = term
        self.load = load
        self.clock = clock
        self.wait = wait
        self.busy = 0
        self._told_at = -math.inf
        #: reports that came over others
        self.reports = 0

    def answer(self, body: bytes) -> bytes:
        """The answers to a batch, in its order. Raises `Rejection` for what is none."""
        return msgspec.msgpack.encode(self._answered(self._read(body)))

    def _read(self, body: bytes) -> HeartbeatBatch:
        try:
            batch = msgspec.msgpack.decode(body, type=HeartbeatBatch)
            if batch.sender not in self.senders:
                raise BatchRefusedError(f"{batch.sender[:100]!r} is no controller of this cluster")
            if len(batch.reports) > MOST_REPORTS or sum(map(len, batch.reports)) > MOST_BYTES + REPORT_BYTES:
                raise BatchRefusedError(f"{batch.sender} sent {len(batch.reports)} reports at once")
        except (msgspec.DecodeError, BatchRefusedError) as e:
            now = self.clock()
            if now - self._told_at >= TELL_S:
                self._told_at = now
                log.warning("a batch of reports was refused: %s", e)
            raise BatchRefusedError(str(e)) from e
        return batch

    def _answered(self, batch: HeartbeatBatch) -> HeartbeatBatchResponse:
        late = self.load.state is LoadState.OVERLOADED
        if (late and self.busy > len(self.senders)) or self.busy >= BATCHES * max(1, len(self.senders)):
            return HeartbeatBatchResponse([(503, b"")] * len(batch.reports), late=True)
        self.busy += 1
        try:
            self.reports += len(batch.reports)
            return HeartbeatBatchResponse(self._take(batch.reports), late=late)
        finally:
            self.busy -= 1

    def _take(self, bodies: list[bytes]) -> list[tuple[int, bytes]]:
        """Reads all, waits once for what their starts need, then answers all that it still may."""
        came_at = self.clock()
        self.election.check_clock()
        self.wait()
        term = self.term()
        if term is None:
            return [(421, b"")] * len(bodies)
        answers: list[tuple[int, bytes]] = [(503, b"")] * len(bodies)
        begun = {}
        for i, body in self._in_slices(enumerate(bodies), came_at):
            try:
                if len(body) > REPORT_BYTES:
                    raise MalformedError("the report is too large")
                begun[i] = term.begin_heartbeat(_report_decoder.decode(body))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, MalformedError) as e:
                answers[i] = 400, _json.encode({"error": str(e)})
            except Exception:
                # one report that cannot be dealt with leaves the others as they are
                log.exception("a report that was passed on failed")
        if self.clock() - came_at > SEND_S:
            return answers
        term.cover_heartbeats(begun.values())
        for i, taken in self._in_slices(begun.items(), came_at):
            orders = taken if taken is None or isinstance(taken, HeartbeatResponse) else term.finish_heartbeat(taken)
            if orders is not None:
                answers[i] = 200, _json.encode(orders)
        # starts in an answer that does not leave are sent again, as if lost on the way
        self.election.check_clock()
        if not self.election.is_leader() or self.term() is not term:
            return [(503, b"") if status == 200 else (status, said) for status, said in answers]
        return answers

    def _in_slices(self, items: Iterable[T], came_at: float) -> Iterator[T]:
        """One after the other, with others' turns in between, until whoever sent the batch has given it up.

        A leader that is late does nothing in vain.
        """
        since = self.clock()
        for item in items:
            if self.clock() - since > SLICE_S:
                gevent.sleep(0)
                since = self.clock()
            if since - came_at > SEND_S:
                return
            yield item
