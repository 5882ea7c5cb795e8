"""The follower's side of the relay: forwards workers' heartbeats to the leader in batches, and returns its responses.

A follower answers nothing itself: it has no state, token or commands of its own to answer with. A heartbeat is sent
once, to one leader; without a response in time the worker gets none. Why a relayed response is as good as a direct one
is argued in docs/design.md, "Reports over any controller".
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
from ..log_events import LogEvent
from ..state_machines import FORWARDER_TRANSITIONS, ForwarderState, check_transition
from ..wire.peers import HeartbeatBatch, HeartbeatBatchResponse

log = logging.getLogger(__name__)

#: Where the leader takes batches.
PATH = "/reports"
#: Heartbeats are gathered into one batch for this long.
GATHER_S = 0.04
#: How many heartbeats go into one batch; and how many bytes, which the last of them may exceed.
MOST_REPORTS = 256
MAX_BATCH_BYTES = 1 << 20
#: A response is given up this long after its heartbeat came: its worker drops it a second later.
ANSWER_S = 3.0
#: How long a batch waits for the leader's responses; shorter than `ANSWER_S`, so that they reach the workers in time.
BATCH_TIMEOUT_S = 2.5
#: While the oldest heartbeat has waited for longer than this to be sent, others are refused at once.
MAX_QUEUE_WAIT_S = 1.2
#: The same while the leader is overloaded.
MAX_QUEUE_WAIT_OVERLOADED_S = 0.3
#: How long the leader counts as overloaded after it has said so.
OVERLOAD_VALID_S = 1.0
#: After so long without the responses to any batch, forwarding pauses and workers reach the leader themselves.
UNRESPONSIVE_AFTER_S = 2.0
#: How long such a pause lasts.
PAUSE_S = 4.0

#: Status and body of a response to a worker; status 0: there is none.
Response = tuple[int, bytes]
NO_RESPONSE: Response = (0, b"")
REFUSED: Response = (503, b"")


@dataclass
class ForwardedHeartbeat:
    """A heartbeat that waits for the leader's response."""

    body: bytes
    #: When it came, in seconds of the controller's clock.
    came_at: float
    response: AsyncResult = field(default_factory=AsyncResult)


def term_of(leader: PeerClient) -> tuple[str, int]:
    """Return a leader's name and fencing token, by its last status message."""
    return leader.name, leader.last.token if leader.last is not None else 0


class HeartbeatForwarder:
    """One controller's way to the leader for its workers' heartbeats."""

    def __init__(self, name: str, clock: Callable[[], float], leader: Callable[[], PeerClient | None]) -> None:
        """Begin with nothing to forward.

        Args:
            name: This controller's name.
            clock: The present time, in seconds.
            leader: The controller that leads, if it is another one and is known.
        """
        self.name = name
        self.clock = clock
        self.leader = leader
        self.state = ForwarderState.OPEN
        self._queue: deque[ForwardedHeartbeat] = deque()
        #: Set while a batch may be sent.
        self._sendable = Event()
        self._batches_in_flight = 0
        #: Since when no batch has been answered, though some were sent.
        self._failing_since = math.inf
        #: The end of the pause, and the term that it applies to.
        self._paused_until = -math.inf
        self._paused_for_term = ("", 0)
        self._overloaded_until = -math.inf
        #: How many heartbeats were forwarded, in how many batches.
        self.passed = self.batches = 0

    def move(self, new: ForwarderState, reason: str) -> None:
        """Change whether heartbeats are forwarded; no other function does.

        Raises:
            IllegalTransitionError: The state machine does not allow this change.
        """
        if new is self.state:
            return
        check_transition(FORWARDER_TRANSITIONS, self.state, new, "reports to the leader")
        log.info(LogEvent("heartbeat_forwarding_changed", from_=self.state, to=new, reason=reason))
        self.state = new

    def open(self) -> bool:
        """Return whether a heartbeat that comes now would be forwarded; ends a pause that is over."""
        leader = self.leader()
        if self.state is ForwarderState.RESTING and leader is not None and term_of(leader) != self._paused_for_term:
            self.move(ForwarderState.OPEN, f"another term, of {leader.name}")
        if self.state is ForwarderState.RESTING and self.clock() >= self._paused_until:
            self.move(ForwarderState.OPEN, f"paused for {PAUSE_S:.0f} s")
        return self.state is ForwarderState.OPEN and leader is not None

    def fits(self) -> bool:
        """Return whether a heartbeat would be sent soon; otherwise it is better refused at once."""
        if not self._queue:
            return True
        now = self.clock()
        max_wait_s = MAX_QUEUE_WAIT_OVERLOADED_S if now < self._overloaded_until else MAX_QUEUE_WAIT_S
        return now - self._queue[0].came_at < max_wait_s

    def forward(self, body: bytes, came_at: float) -> Response:
        """Forward a heartbeat and wait for the leader's response to it.

        Args:
            body: The heartbeat as it came.
            came_at: When it came.

        Returns:
            Status and body of the response; status 0 if there was none in time, and 503 if it can't be sent soon.
        """
        if not self.fits():
            return REFUSED
        heartbeat = ForwardedHeartbeat(body, came_at)
        self._queue.append(heartbeat)
        self._sendable.set()
        response: Response | None = heartbeat.response.wait(timeout=max(0.0, came_at + ANSWER_S - self.clock()))
        # the wait may have lasted for longer: this process stood still
        if response is None or self.clock() - came_at > ANSWER_S:
            return NO_RESPONSE
        return response

    def run(self) -> None:
        """Send what has been gathered, for as long as the process lives."""
        while True:
            self._sendable.wait()
            gevent.sleep(GATHER_S)
            while self._queue and self._batches_in_flight < BATCHES:
                batch = self._next_batch()
                if batch:
                    self._batches_in_flight += 1
                    gevent.spawn(self._send, batch)
            if not self._queue or self._batches_in_flight >= BATCHES:
                self._sendable.clear()

    def _next_batch(self) -> list[ForwardedHeartbeat]:
        """Take the next batch from the queue, without the heartbeats that are too old to be answered in time."""
        batch: list[ForwardedHeartbeat] = []
        size, now = 0, self.clock()
        while self._queue and len(batch) < MOST_REPORTS and size < MAX_BATCH_BYTES:
            heartbeat = self._queue.popleft()
            if now - heartbeat.came_at < ANSWER_S:
                size += len(heartbeat.body)
                batch.append(heartbeat)
        return batch

    def _send(self, batch: list[ForwardedHeartbeat]) -> None:
        """Send a batch, and give each of its heartbeats the leader's response, or none."""
        responses: list[Response] | None
        try:
            responses = self._request(batch)
        except Exception:
            # whatever it was, the heartbeats' workers must not wait for it
            log.exception(LogEvent("heartbeat_batch_forward_failed", heartbeats=len(batch)))
            responses = None
        finally:
            self._batches_in_flight -= 1
            if self._queue:
                self._sendable.set()
        for i, heartbeat in enumerate(batch):
            heartbeat.response.set(responses[i] if responses is not None else NO_RESPONSE)

    def _request(self, batch: list[ForwardedHeartbeat]) -> list[Response] | None:
        """Return the leader's responses to a batch, in its order, or None if it gave none."""
        leader, sent_at = self.leader(), self.clock()
        if leader is None:
            return None
        self.batches += 1
        self.passed += len(batch)
        message = HeartbeatBatch(self.name, [heartbeat.body for heartbeat in batch])
        reply = leader.tell(PATH, message, HeartbeatBatchResponse, BATCH_TIMEOUT_S)
        if reply is None or len(reply.responses) != len(batch):
            self._record_failure(sent_at, leader)
            return None
        self._failing_since = math.inf
        if reply.overloaded:
            self._overloaded_until = self.clock() + OVERLOAD_VALID_S
        return reply.responses

    def _record_failure(self, sent_at: float, leader: PeerClient) -> None:
        """Record that a batch was not answered; after a while, pause, as workers may reach the leader themselves.

        A leader that goes on answering status messages can be reached and is overloaded. A pause would have all
        workers of all followers connect to it anew, and overload it further.
        """
        self._failing_since = min(self._failing_since, sent_at)
        if leader.last_heard_at >= self._failing_since:
            return
        if self.state is ForwarderState.OPEN and self.clock() - self._failing_since >= UNRESPONSIVE_AFTER_S:
            self._paused_until = self.clock() + PAUSE_S
            self._paused_for_term = term_of(leader)
            self._failing_since = math.inf
            self.move(ForwarderState.RESTING, f"{leader.name} has not answered for {UNRESPONSIVE_AFTER_S:.0f} s")
