"""The follower's side of the heartbeat relay: forwards heartbeats to the leader in batches and returns its responses.

A follower never answers a heartbeat itself, as it has no state, fencing token or commands for a response. It forwards
each heartbeat once, to one leader; if the leader's response does not arrive in time, the worker receives none. The
section "Heartbeats over any controller" of docs/design.md shows that a relayed response is as safe as a direct one.
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
from ..flow_control.connection_limits import MAX_BATCHES_IN_FLIGHT
from ..log_events import LogEvent
from ..state_machines import FORWARDER_TRANSITIONS, ForwarderState, check_transition
from ..wire.peers import HeartbeatBatch, HeartbeatBatchResponse

log = logging.getLogger(__name__)

#: URL path at which the leader receives batches.
BATCH_PATH = "/reports"
#: Time for which heartbeats are collected into a batch, in seconds.
BATCH_DELAY_S = 0.04
#: Largest number of heartbeats in a batch.
MAX_BATCH_HEARTBEATS = 256
#: Size of a batch, in bytes, from which no further heartbeat is added.
MAX_BATCH_BYTES = 1 << 20
#: Time after which a heartbeat receives no response any more, in seconds; the worker times out a second later.
RESPONSE_TIMEOUT_S = 3.0
#: Time limit for the leader's response to a batch, in seconds; shorter than `RESPONSE_TIMEOUT_S`, so that responses
#: reach the workers in time.
BATCH_TIMEOUT_S = 2.5
#: New heartbeats are refused while the oldest one in the queue has waited for longer than this, in seconds.
MAX_QUEUE_WAIT_S = 1.2
#: Replaces `MAX_QUEUE_WAIT_S` while the leader is overloaded, in seconds.
MAX_QUEUE_WAIT_OVERLOADED_S = 0.3
#: Time for which the leader counts as overloaded after a response with the flag `overloaded`, in seconds.
OVERLOAD_VALID_S = 1.0
#: Time without a response to any batch after which forwarding is paused and workers are redirected to the leader, in
#: seconds.
UNRESPONSIVE_AFTER_S = 2.0
#: Duration of a pause of forwarding, in seconds.
PAUSE_S = 4.0

#: HTTP status and body of a response to a worker; status 0 means that there is no response.
Response = tuple[int, bytes]
NO_RESPONSE: Response = (0, b"")
REFUSED: Response = (503, b"")


@dataclass
class ForwardedHeartbeat:
    """A heartbeat that is waiting for the leader's response.

    Attributes:
        body: The encoded heartbeat.
        received_at: When the follower received the heartbeat, in seconds of the follower's clock.
        response: Set to the response to the heartbeat.
    """

    body: bytes
    received_at: float
    response: AsyncResult = field(default_factory=AsyncResult)


def leader_term(leader: PeerClient) -> tuple[str, int]:
    """Return the name of a leader, and the fencing token in its last status message or 0."""
    return leader.name, leader.last_status.token if leader.last_status is not None else 0


class HeartbeatForwarder:
    """Forwards the heartbeats that one controller receives to the leader."""

    def __init__(self, name: str, clock: Callable[[], float], leader: Callable[[], PeerClient | None]) -> None:
        """Create a forwarder with an empty queue.

        Args:
            name: Name of this controller.
            clock: Monotonic clock, in seconds.
            leader: Returns the client for the leader, or None if the leader is unknown or is this controller.
        """
        self.name = name
        self.clock = clock
        self.leader = leader
        self.state = ForwarderState.OPEN
        self._queue: deque[ForwardedHeartbeat] = deque()
        #: Set while the queue is not empty and a further batch may be sent.
        self._sendable = Event()
        self._batches_in_flight = 0
        #: When the earliest batch was sent that has failed since the last response; infinite if none has failed.
        self._failing_since = math.inf
        #: End of the current pause, and the leader and fencing token that the pause applies to.
        self._paused_until = -math.inf
        self._paused_for_term = ("", 0)
        self._overloaded_until = -math.inf
        #: Numbers of heartbeats and of batches sent since the process started.
        self.forwarded_count = self.batch_count = 0

    def change_state(self, new: ForwarderState, reason: str) -> None:
        """Change the state and log the change; all changes of `state` have to be made by this method.

        Args:
            new: The new state.
            reason: Reason of the change, for the log.

        Raises:
            IllegalTransitionError: The state machine does not allow this transition.
        """
        if new is self.state:
            return
        check_transition(FORWARDER_TRANSITIONS, self.state, new, "heartbeat forwarder")
        log.info(LogEvent("heartbeat_forwarding_changed", from_=self.state, to=new, reason=reason))
        self.state = new

    def accepts_heartbeats(self) -> bool:
        """Return whether heartbeats are forwarded now; end a pause that has expired or applies to an earlier term."""
        leader = self.leader()
        if self.state is ForwarderState.RESTING and leader is not None and leader_term(leader) != self._paused_for_term:
            self.change_state(ForwarderState.OPEN, f"new term of {leader.name}")
        if self.state is ForwarderState.RESTING and self.clock() >= self._paused_until:
            self.change_state(ForwarderState.OPEN, f"pause of {PAUSE_S:.0f} s expired")
        return self.state is ForwarderState.OPEN and leader is not None

    def has_short_queue(self) -> bool:
        """Return whether the queue is so short that the response to a new heartbeat would arrive in time."""
        if not self._queue:
            return True
        now = self.clock()
        max_wait_s = MAX_QUEUE_WAIT_OVERLOADED_S if now < self._overloaded_until else MAX_QUEUE_WAIT_S
        return now - self._queue[0].received_at < max_wait_s

    def forward(self, body: bytes, received_at: float) -> Response:
        """Forward a heartbeat and wait for the leader's response.

        Args:
            body: The encoded heartbeat.
            received_at: When this controller received the heartbeat, in seconds.

        Returns:
            Status and body of the leader's response, `NO_RESPONSE` if none arrived in time, or `REFUSED` if the queue
            is too long.
        """
        if not self.has_short_queue():
            return REFUSED
        heartbeat = ForwardedHeartbeat(body, received_at)
        self._queue.append(heartbeat)
        self._sendable.set()
        response: Response | None = heartbeat.response.wait(
            timeout=max(0.0, received_at + RESPONSE_TIMEOUT_S - self.clock())
        )
        # the wait takes longer than its timeout if this process is suspended
        if response is None or self.clock() - received_at > RESPONSE_TIMEOUT_S:
            return NO_RESPONSE
        return response

    def run(self) -> None:
        """Send batches of queued heartbeats; never returns."""
        while True:
            self._sendable.wait()
            gevent.sleep(BATCH_DELAY_S)
            while self._queue and self._batches_in_flight < MAX_BATCHES_IN_FLIGHT:
                batch = self._next_batch()
                if batch:
                    self._batches_in_flight += 1
                    gevent.spawn(self._send, batch)
            if not self._queue or self._batches_in_flight >= MAX_BATCHES_IN_FLIGHT:
                self._sendable.clear()

    def _next_batch(self) -> list[ForwardedHeartbeat]:
        """Remove the next batch from the queue; heartbeats that are too old for a timely response are dropped."""
        batch: list[ForwardedHeartbeat] = []
        size, now = 0, self.clock()
        while self._queue and len(batch) < MAX_BATCH_HEARTBEATS and size < MAX_BATCH_BYTES:
            heartbeat = self._queue.popleft()
            if now - heartbeat.received_at < RESPONSE_TIMEOUT_S:
                size += len(heartbeat.body)
                batch.append(heartbeat)
        return batch

    def _send(self, batch: list[ForwardedHeartbeat]) -> None:
        """Send a batch, and set the response of each heartbeat to the leader's response or to `NO_RESPONSE`."""
        responses: list[Response] | None
        try:
            responses = self._request(batch)
        except Exception:
            # after any error, the requests that wait for these heartbeats' responses have to be released
            log.exception(LogEvent("heartbeat_batch_forward_failed", heartbeats=len(batch)))
            responses = None
        finally:
            self._batches_in_flight -= 1
            if self._queue:
                self._sendable.set()
        for i, heartbeat in enumerate(batch):
            heartbeat.response.set(responses[i] if responses is not None else NO_RESPONSE)

    def _request(self, batch: list[ForwardedHeartbeat]) -> list[Response] | None:
        """Return the leader's responses to the heartbeats of a batch, in order, or None if the request failed."""
        leader, sent_at = self.leader(), self.clock()
        if leader is None:
            return None
        self.batch_count += 1
        self.forwarded_count += len(batch)
        message = HeartbeatBatch(self.name, [heartbeat.body for heartbeat in batch])
        batch_response = leader.call(BATCH_PATH, message, HeartbeatBatchResponse, BATCH_TIMEOUT_S)
        if batch_response is None or len(batch_response.responses) != len(batch):
            self._record_failure(sent_at, leader)
            return None
        self._failing_since = math.inf
        if batch_response.overloaded:
            self._overloaded_until = self.clock() + OVERLOAD_VALID_S
        return batch_response.responses

    def _record_failure(self, sent_at: float, leader: PeerClient) -> None:
        """Record that a batch received no response, and pause forwarding if the leader has been silent for too long.

        During a pause, workers are redirected to the leader, which they may reach although this controller does not.
        There is no pause while the leader still answers status messages: it is reachable but overloaded, and a pause
        would make all workers of all followers open new connections to the leader and overload it further.

        Args:
            sent_at: When the batch was sent, in seconds.
            leader: The leader that the batch was sent to.
        """
        self._failing_since = min(self._failing_since, sent_at)
        if leader.last_heard_at >= self._failing_since:
            return
        if self.state is ForwarderState.OPEN and self.clock() - self._failing_since >= UNRESPONSIVE_AFTER_S:
            self._paused_until = self.clock() + PAUSE_S
            self._paused_for_term = leader_term(leader)
            self._failing_since = math.inf
            self.change_state(
                ForwarderState.RESTING, f"no response from {leader.name} for {UNRESPONSIVE_AFTER_S:.0f} s"
            )
