"""Assumptions about clocks, for time limits that two machines measure with their own clocks.

An example is a lease: its holder must stop using the lease before its grantor considers the lease expired.
"""

from __future__ import annotations

#: Maximum drift between two monotonic clocks, as a fraction of the elapsed time. The protocol specifies this value.
MAX_CLOCK_DRIFT = 0.0005
#: Safety margin that is added to such a time limit in addition to the drift, in seconds.
CLOCK_MARGIN_S = 1.0
