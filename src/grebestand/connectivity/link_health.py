"""Health of a controller's own links, to the key-value store and to the workers, as a state machine per link."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..log_events import LogEvent
from ..state_machines import LINK_TRANSITIONS, LinkState, check_transition

log = logging.getLogger(__name__)


class LinkHealth:
    """The state of one link, judged by the requests over it and their responses.

    A link over which others send, such as the workers' heartbeats, is judged by its silence alone. Times are those of
    `clock`, in seconds.

    Attributes:
        name: Name of the link, for the log.
        state: The current state. A link is suspect until something has come over it.
        ok_at: When something last came over the link.
        failed_at: When the first request was sent that has failed since; None if none has.
    """

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        """Start with a link that nothing is known of."""
        self.name = name
        self.clock = clock
        self.state = LinkState.SUSPECT
        self.ok_at = -math.inf
        self.failed_at: float | None = None

    @property
    def age_s(self) -> float:
        """Seconds since something last came over the link."""
        return self.clock() - self.ok_at

    def move(self, new: LinkState, reason: str) -> None:
        """Change the state; every change goes through this method."""
        if new is self.state:
            return
        check_transition(LINK_TRANSITIONS, self.state, new, self.name)
        log.info(LogEvent("link_state_changed", link=self.name, from_=self.state, to=new, reason=reason))
        self.state = new

    def answered(self) -> None:
        """Record that something came over the link. Called for every heartbeat, so the state is compared here."""
        self.ok_at, self.failed_at = self.clock(), None
        if self.state is not LinkState.UP:
            self.move(LinkState.UP, "an answer came")

    def failed(self, sent: float, reason: str, down_after_s: float) -> None:
        """Record that a request got no response or was refused.

        Args:
            sent: When the request was sent.
            reason: Why it failed.
            down_after_s: The link is down once requests have been failing for this long.
        """
        if sent < self.ok_at:
            return  # a response that came after this request was sent is newer evidence
        if self.failed_at is None:
            self.failed_at = sent
        if self.state is LinkState.UP:
            self.move(LinkState.SUSPECT, reason)
        if self.state is LinkState.SUSPECT and self.clock() - self.failed_at >= down_after_s:
            self.move(LinkState.DOWN, reason)

    def silent(self, doubtful_s: float, down_s: float) -> None:
        """Judge a link by its silence.

        Args:
            doubtful_s: The link is suspect after this silence.
            down_s: The link is down after this silence; a link over which nothing has ever come stays suspect.
        """
        silence_s = self.age_s
        if self.state is LinkState.UP and silence_s >= doubtful_s:
            self.move(LinkState.SUSPECT, f"silent for {silence_s:.1f} s")
        if self.state is LinkState.SUSPECT and down_s <= silence_s < math.inf:
            self.move(LinkState.DOWN, f"silent for {silence_s:.1f} s")
