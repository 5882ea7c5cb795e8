"""What may be assumed of clocks, for every bound that two machines have to agree on."""

from __future__ import annotations

#: steady clocks may drift apart by this much (the protocol's bound)
DRIFT = 0.0005
#: what is added to such a bound besides, in seconds
MARGIN_S = 1.0
