"""Passes workers' reports on to the leader, several in one message, and gives each the leader's own answer.

Nothing is answered from here: no memory, no token, no order of this controller's. A report is sent once to one leader;
what has no answer in time is none. Why an answer that took this way is as good as a direct one is argued in
docs/design.md, "Reports over any controller".
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult, Event

from ..clients.peer import PeerClient
from ..flow_control.connection_limits import BATCHES
from ..state_machines import FORWARDER_TRANSITIONS, ForwarderState, check_transition
from ..wire.peers import HeartbeatBatch, HeartbeatBatchResponse

log = logging.getLogger(__name__)

PATH = "/reports"
#: reports are gathered for so long, in seconds; so many go in one message, of so many bytes
GATHER_S = 0.04
MOST_REPORTS, MOST_BYTES = 256, 1 << 20
#: an answer is given up that comes so long after its report, in seconds: its worker drops it a second later
ANSWER_S = 3.0
#: a message to the leader waits for so long for its answer, in seconds
SEND_S = 2.5
#: a report that would wait for so long, in seconds, until it is sent is refused at once; less if the leader is late
QUEUED_S, LATE_QUEUED_S = 1.2, 0.3
#: how long what the leader said of being late counts, in seconds
LATE_S = 1.0
#: after so long without any answer to a batch, the leader is reached by the workers themselves, for so long, in seconds
DOWN_S, REST_S = 2.0, 4.0


@dataclass
class ForwardedResponse:
    """A report that waits for the leader's answer: its status and body; status 0: none came."""

    body: bytes
    came_at: float
    answer: AsyncResult = field(default_factory=AsyncResult)


def term_of(leader: PeerClient) -> tuple[str, int]:
    """Who leads, and by which token, as it said last."""
    return leader.name, leader.last.token if leader.last is not None else 0


class HeartbeatForwarder:
    """One controller's way to the leader for its workers' reports."""

    def __init__(self, name: str, clock: Callable[[], float], leader: Callable[[], PeerClient | None]) -> None:
        """`leader`: the controller that leads, as far as it is heard and this one does not."""
        self.name = name
        self.clock = clock
        self.leader = leader
        self.state = ForwarderState.OPEN
        self._queue: deque[ForwardedResponse] = deque()
        self._news = Event()
        self._under_way = 0
        #: since when no batch has been answered, while some were sent; until when the leader is left alone
        self._failing_since = math.inf
        self._rests_until, self._rests_from = -math.inf, ("", 0)
        self._late_until = -math.inf
        #: reports that were passed on, and messages that took
        self.passed = self.batches = 0

    def move(self, new: ForwarderState, why: str) -> None:
        """The one function that changes whether reports go this way."""
        if new is self.state:
            return
        check_transition(FORWARDER_TRANSITIONS, self.state, new, "reports to the leader")
        log.info("reports to the leader: %s -> %s: %s", self.state.name, new.name, why)
        self.state = new

    def open(self) -> bool:
        """Whether a report that comes now would be passed on."""
        leader = self.leader()
        if self.state is ForwarderState.RESTING and leader is not None and term_of(leader) != self._rests_from:
            self.move(ForwarderState.OPEN, f"another term, of {leader.name}")
        if self.state is ForwarderState.RESTING and self.clock() >= self._rests_until:
            self.move(ForwarderState.OPEN, f"left alone for {REST_S:.0f} s")
        return self.state is ForwarderState.OPEN and leader is not None

    def fits(self) -> bool:
        """Whether it would be sent soon; a relay says no at once rather than hold what the leader cannot take."""
        if not self._queue:
            return True
        now = self.clock()
        patience = LATE_QUEUED_S if now < self._late_until else QUEUED_S
        return now - self._queue[0].came_at < patience

    def pass_on(self, body: bytes, came_at: float) -> tuple[int, bytes]:
        """The leader's answer to a report that came then: status and body; status 0: there is none in time, 503: it is
        not to be waited for."""
        if not self.fits():
            return 503, b""
        passed = ForwardedResponse(body, came_at)
        self._queue.append(passed)
        self._news.set()
        found: tuple[int, bytes] | None = passed.answer.wait(timeout=max(0.0, came_at + ANSWER_S - self.clock()))
        # the wait may have outlasted its time: this process stood still
        if found is None or self.clock() - came_at > ANSWER_S:
            return 0, b""
        return found

    def run(self) -> None:
        """Sends what has gathered, as long as the process lives."""
        while True:
            self._news.wait()
            gevent.sleep(GATHER_S)
            while self._queue and self._under_way < BATCHES:
                batch = self._next()
                if batch:
                    self._under_way += 1
                    gevent.spawn(self._send, batch)
            if not self._queue or self._under_way >= BATCHES:
                self._news.clear()

    def _next(self) -> list[ForwardedResponse]:
        """What goes into the next message; what is too old already is answered by nobody."""
        batch: list[ForwardedResponse] = []
        size, now = 0, self.clock()
        while self._queue and len(batch) < MOST_REPORTS and size < MOST_BYTES:
            passed = self._queue.popleft()
            if now - passed.came_at < ANSWER_S:
                size += len(passed.body)
                batch.append(passed)
        return batch

    def _send(self, batch: list[ForwardedResponse]) -> None:
        try:
            answers = self._ask(batch)
        except Exception:
            log.exception("a batch of reports could not be passed on")
            answers = None
        finally:
            self._under_way -= 1
            if self._queue:
                self._news.set()
        for i, passed in enumerate(batch):
            passed.answer.set(answers[i] if answers is not None else (0, b""))

    def _ask(self, batch: list[ForwardedResponse]) -> list[tuple[int, bytes]] | None:
        leader, sent = self.leader(), self.clock()
        if leader is None:
            return None
        self.batches += 1
        self.passed += len(batch)
        told = leader.tell(PATH, HeartbeatBatch(self.name, [p.body for p in batch]), HeartbeatBatchResponse, SEND_S)
        if told is None or len(told.answers) != len(batch):
            self._failed(sent, leader)
            return None
        self._failing_since = math.inf
        if told.late:
            self._late_until = self.clock() + LATE_S
        return told.answers

    def _failed(self, sent: float, leader: PeerClient) -> None:
        """No answer. After a while workers are told to go to the leader themselves: they may reach it.

        One that goes on answering greetings is reached, and late: sent to it or to others, all workers of all relays
        would come to it anew, and it would be later still.
        """
        self._failing_since = min(self._failing_since, sent)
        if leader.last_heard_at >= self._failing_since:
            return
        if self.state is ForwarderState.OPEN and self.clock() - self._failing_since >= DOWN_S:
            self._rests_until, self._rests_from = self.clock() + REST_S, term_of(leader)
            self._failing_since = math.inf
            self.move(ForwarderState.RESTING, f"{leader.name} has not answered for {DOWN_S:.0f} s")
