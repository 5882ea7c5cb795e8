"""Schedule of Python's cyclic garbage collection: young objects by count, all objects by time.

The default thresholds would traverse the state of thousands of machines every few seconds, each time for a large part
of a second in which no heartbeat is answered. Hardly any long-lived object is part of a cycle, so full collections are
rare, and rarer still while the controller is late.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

#: allocations minus deallocations after which the young generation is collected
YOUNG_THRESHOLD = 5_000
#: collections of the young generation after which the middle generation is collected
MIDDLE_THRESHOLD = 20
#: so large that the collector never starts a full collection by itself
NEVER = 1 << 30
#: interval between full collections
FULL_COLLECTION_INTERVAL_S = 30.0
#: a controller that stays late collects at every so many-th interval all the same, as its memory must not grow for ever
LATE_INTERVALS = 4


def collect_garbage_by_time(sleep: Callable[[float], object], spare: Callable[[], bool]) -> None:
    """Run full collections for as long as the process lives.

    Args:
        sleep: Pauses for a number of seconds.
        spare: Returns whether the controller has time for work that can wait.
    """
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, NEVER)
    intervals_since_collection = 0
    while True:
        sleep(FULL_COLLECTION_INTERVAL_S)
        intervals_since_collection += 1
        if spare() or intervals_since_collection >= LATE_INTERVALS:
            intervals_since_collection = 0
            gc.collect()
