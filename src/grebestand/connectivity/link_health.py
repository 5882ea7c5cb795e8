"""Health of a controller's links to the key-value store and to the workers, as one state machine per link."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..log_events import LogEvent
from ..state_machines import LINK_TRANSITIONS, LinkState, check_transition

log = logging.getLogger(__name__)


class LinkHealth:
    """The state of one link, derived from the outcomes of the requests over the link.

    The state of a link over which this controller only receives requests, such as the heartbeats of workers, is derived
    from the time since the last request. All times are in seconds on `clock`.

    Attributes:
        name: Name of the link in log messages.
        clock: Returns the time of the monotonic clock in seconds.
        state: Current state of the link. The state is `SUSPECT` until the first response or request is received.
        last_received_at: Time at which a response or request was last received over the link; minus infinity if there
            was none.
        failing_since: Time at which the first of the requests was sent that have failed since `last_received_at`. None
            if no request has failed since then.
    """

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        """Start in the state `SUSPECT`, as nothing is known of the link yet."""
        self.name = name
        self.clock = clock
        self.state = LinkState.SUSPECT
        self.last_received_at = -math.inf
        self.failing_since: float | None = None

    @property
    def silence_s(self) -> float:
        """Time in seconds since a response or request was last received over the link; infinite if there was none."""
        return self.clock() - self.last_received_at

    def change_state(self, new: LinkState, reason: str) -> None:
        """Change the state. Every change goes through this method, which checks and logs the transition."""
        if new is self.state:
            return
        check_transition(LINK_TRANSITIONS, self.state, new, self.name)
        log.info(LogEvent("link_state_changed", link=self.name, from_=self.state, to=new, reason=reason))
        self.state = new

    def record_success(self) -> None:
        """Record that a response or request was received over the link.

        Called for every heartbeat. The comparison with the current state avoids a call of `change_state` each time.
        """
        self.last_received_at, self.failing_since = self.clock(), None
        if self.state is not LinkState.UP:
            self.change_state(LinkState.UP, "a message was received")

    def record_failure(self, sent_at: float, reason: str, down_after_s: float) -> None:
        """Record that a request over the link got no response or was rejected.

        Args:
            sent_at: Time at which the request was sent.
            reason: Why the request failed, for the log.
            down_after_s: Time in seconds for which requests have to fail before the link is down.
        """
        if sent_at < self.last_received_at:
            return  # a message that was received after this request was sent is newer evidence
        if self.failing_since is None:
            self.failing_since = sent_at
        if self.state is LinkState.UP:
            self.change_state(LinkState.SUSPECT, reason)
        if self.state is LinkState.SUSPECT and self.clock() - self.failing_since >= down_after_s:
            self.change_state(LinkState.DOWN, reason)

    def check_silence(self, suspect_after_s: float, down_after_s: float) -> None:
        """Update the state of a link from the time since a message was last received over the link.

        Args:
            suspect_after_s: Time in seconds without a message after which the link is suspect.
            down_after_s: Time in seconds without a message after which the link is down. A link over which no message
                was ever received stays suspect.
        """
        silence_s = self.silence_s
        if self.state is LinkState.UP and silence_s >= suspect_after_s:
            self.change_state(LinkState.SUSPECT, f"silent for {silence_s:.1f} s")
        if self.state is LinkState.SUSPECT and down_after_s <= silence_s < math.inf:
            self.change_state(LinkState.DOWN, f"silent for {silence_s:.1f} s")
