"""Up to which moment a leader knows of every cancellation, and for how long that lets it answer workers.

Authority is not enough. A leader that the state service refuses, or that sits out an outage, may hold its key and be
entitled by its clock while other controllers have told users of cancellations that it has not heard of; each answer
renews a lease, and may start what is cancelled. So a worker is answered only if

    now <= known + cancel_s - lease_s - drift - margin

where `known` is when the last current read of the live records that was answered had been sent. Whatever it does not
know of was cancelled later than that, and the lease that this answer renews ends within `cancel_s` of it. The argument
is in docs/design.md, "What a leader must know".
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from ..clocks import DRIFT, MARGIN_S
from ..settings.platform import Workers

log = logging.getLogger(__name__)

#: where the settings leave no room, what is known may still be so old, in seconds: a service that never answers a
#: worker serves nobody
TIGHTEST_S = 2.0
#: how long a watch of the live records is left open, in seconds: at the most, and at the least
MOST_WATCHED_S, LEAST_WATCHED_S = 1.0, 0.5
#: a start needs to know of every cancellation that was confirmed up to so long ago, in seconds: of two watches that
#: follow each other, and an answer that is slow
STARTS_S = 3.0


def allowance_s(workers: Workers) -> float:
    """How old what a leader knows may be when it answers a worker, in seconds; not positive if there is no room."""
    return workers.cancel_s - workers.lease_s * (1 + 2 * DRIFT) - MARGIN_S


class CancellationHorizon:
    """What a term has proved to know. Only an answer to a request counts, from when that was sent."""

    def __init__(self, clock: Callable[[], float], max_age_s: float = math.inf) -> None:
        self.clock = clock
        self.max_age_s = max(max_age_s, TIGHTEST_S)
        #: every cancellation confirmed up to then is in the books
        self.known_at = -math.inf
        #: up to when all other controllers have told of what they confirmed, given what is known by reading
        self.cancellations_confirmed_up_to: Callable[[float], float] = lambda known_at: -math.inf

    @property
    def watch_ms(self) -> int:
        """For how long a watch may be silent, in milliseconds, so that several fit what is allowed."""
        return int(1000 * min(MOST_WATCHED_S, max(LEAST_WATCHED_S, self.max_age_s / 4)))

    @property
    def age_s(self) -> float:
        return self.clock() - self.known_at

    def fresh(self) -> bool:
        """Whether a lease that is renewed now ends in time for whatever this term has not heard of."""
        return self.clock() <= self.may_answer_until()

    def allows_starts(self) -> bool:
        """Whether a task may be started now: leases may be renewed on older knowledge than work may begin on.

        In an outage of all nobody confirms anything, and the other controllers say so; a leader that hears neither the
        state service nor all of them is likely to be the one that is cut off, and others cancel through the next.
        """
        known = max(self.known_at, self.cancellations_confirmed_up_to(self.known_at))
        return self.max_age_s == math.inf or self.clock() <= known + STARTS_S

    def may_answer_until(self) -> float:
        """Until when an answer may leave that does not stop what was cancelled after `known_at`."""
        return self.known_at + self.max_age_s if self.max_age_s < math.inf else math.inf

    def begin(self) -> None:
        """A new term knows nothing yet."""
        self.known_at = -math.inf

    def caught_up(self, sent: float) -> None:
        """A current read that was sent then has been answered and is in the books."""
        self.known_at = max(self.known_at, sent)

    def tell(self, workers: Workers) -> None:
        """One line at the start of a controller, and a warning where its settings leave no room."""
        room = allowance_s(workers)
        log.info("workers are answered while what is known of cancellations is at most %.1f s old", self.max_age_s)
        if room < TIGHTEST_S:
            log.warning(
                "params.workers.cancel_s = %g leaves no room beside params.workers.lease_s = %g: a machine that cannot "
                "be reached may hold cancelled tasks for %.1f s",
                workers.cancel_s, workers.lease_s, self.max_age_s - room + workers.cancel_s,
            )  # fmt: skip
