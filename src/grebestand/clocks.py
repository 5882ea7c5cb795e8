"""What is assumed of clocks, for each bound in time on which two machines have to agree."""

from __future__ import annotations

#: The largest drift between two steady clocks, as a share of the time that passes; the protocol states it.
MAX_CLOCK_DRIFT = 0.0005
#: What is added to such a bound besides drift, in seconds.
CLOCK_MARGIN_S = 1.0
