"""Schedule of Python's cyclic garbage collection: young objects by count, all objects by time.

With Python's default thresholds, the collector would traverse the state of thousands of machines every few seconds.
Each traversal takes a large part of a second, during which no heartbeat is answered. Few long-lived objects are part of
a reference cycle, so full collections can be rare. They are even rarer while the controller is overloaded.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

#: allocations minus deallocations after which the young generation is collected
YOUNG_THRESHOLD = 5_000
#: collections of the young generation after which the middle generation is collected
MIDDLE_THRESHOLD = 20
#: threshold that is never reached, so that the collector starts no full collection by itself
NEVER_THRESHOLD = 1 << 30
#: interval between full collections
FULL_COLLECTION_INTERVAL_S = 30.0
#: Number of intervals after which a full collection runs even without spare time. Otherwise, the memory of a controller
#: that stays overloaded would grow without limit.
MAX_SKIPPED_INTERVALS = 4


def collect_garbage_by_time(sleep: Callable[[float], object], has_spare_time: Callable[[], bool]) -> None:
    """Run full collections periodically until the process ends.

    Args:
        sleep: Sleeps for a number of seconds.
        has_spare_time: Returns whether the controller has time for work that can wait.
    """
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, NEVER_THRESHOLD)
    intervals_since_collection = 0
    while True:
        sleep(FULL_COLLECTION_INTERVAL_S)
        intervals_since_collection += 1
        if has_spare_time() or intervals_since_collection >= MAX_SKIPPED_INTERVALS:
            intervals_since_collection = 0
            gc.collect()
