"""What a controller knows of its own links: to the state service, and to the workers."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..state_machines import LINK_TRANSITIONS, LinkState, check_transition

log = logging.getLogger(__name__)


class LinkHealth:
    """One link, as its own requests and answers show it. A silent link is known by its silence only."""

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        self.name = name
        self.clock = clock
        self.state = LinkState.SUSPECT
        #: when something last came over it
        self.ok_at = -math.inf
        #: when the first of the requests that have failed since was sent
        self.failed_at: float | None = None

    def move(self, new: LinkState, why: str) -> None:
        """The one function that changes what is thought of a link."""
        if new is self.state:
            return
        check_transition(LINK_TRANSITIONS, self.state, new, self.name)
        log.info("link to %s: %s -> %s: %s", self.name, self.state.name, new.name, why)
        self.state = new

    def answered(self) -> None:
        self.ok_at, self.failed_at = self.clock(), None
        if self.state is not LinkState.UP:
            self.move(LinkState.UP, "an answer came")

    def failed(self, sent: float, why: str, down_after_s: float) -> None:
        """A request that was sent then got no answer, or was refused."""
        if sent < self.ok_at:
            return  # something sent later has been answered since
        if self.failed_at is None:
            self.failed_at = sent
        if self.state is LinkState.UP:
            self.move(LinkState.SUSPECT, why)
        if self.state is LinkState.SUSPECT and self.clock() - self.failed_at >= down_after_s:
            self.move(LinkState.DOWN, why)

    def silent(self, doubtful_s: float, down_s: float) -> None:
        """Nothing comes that would come by itself: after so long it is doubtful, after so long down."""
        silence = self.clock() - self.ok_at
        if self.state is LinkState.UP and silence >= doubtful_s:
            self.move(LinkState.SUSPECT, f"silent for {silence:.1f} s")
        if self.state is LinkState.SUSPECT and down_s <= silence < math.inf:
            self.move(LinkState.DOWN, f"silent for {silence:.1f} s")

    @property
    def age_s(self) -> float:
        """Since something last came over it."""
        return self.clock() - self.ok_at
