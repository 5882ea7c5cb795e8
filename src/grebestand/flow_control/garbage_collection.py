"""When cyclic garbage is looked for: the young by count, the old by time.

By count alone the books of thousands of machines were gone over every two seconds, a quarter of a second each, while
no report was answered: an eighth of a leader's time. Hardly anything that lives long is in cycles; what is waits.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

#: objects made and not yet gone before the young are looked at; how often that before the middle-aged are
YOUNG, MIDDLE = 5_000, 20
#: all are looked at so often, in seconds; by a controller that is late, so many times as rarely
EVERY_S, LATE_TIMES = 30.0, 4
#: as good as never
NEVER = 1 << 30


def collect_garbage_by_time(sleep: Callable[[float], object], spare: Callable[[], bool]) -> None:
    """Collects for as long as the process lives; `spare` says whether there is time for it."""
    gc.set_threshold(YOUNG, MIDDLE, NEVER)
    passed_over = 0
    while True:
        sleep(EVERY_S)
        passed_over += 1
        if spare() or passed_over >= LATE_TIMES:
            passed_over = 0
            gc.collect()
