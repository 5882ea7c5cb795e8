"""Distributions of durations, as sketches of bounded size with a relative error of one percent.

DDSketch (Masson, Rim and Lee, 2019) by its authors' library. Means hide what users feel, and a list of all durations
would grow with the load; a sketch of these ranges holds a few hundred buckets at the most.
"""

from __future__ import annotations

from ddsketch import LogCollapsingLowestDenseDDSketch

RELATIVE_ERROR, MAX_BUCKETS = 0.01, 512
#: shorter than this is as good as nothing, in seconds
MIN_DURATION_S = 1e-5


class DurationSketches:
    """One sketch for each name, begun anew each time it is told."""

    def __init__(self) -> None:
        self._found: dict[str, LogCollapsingLowestDenseDDSketch] = {}
        self._longest: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        sketch = self._found.get(name)
        if sketch is None:
            sketch = self._found[name] = LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, MAX_BUCKETS)
        sketch.add(max(MIN_DURATION_S, seconds))
        if seconds > self._longest.get(name, 0.0):
            self._longest[name] = seconds

    def count(self, name: str) -> int:
        found = self._found.get(name)
        return int(found.count) if found is not None else 0

    def quantile(self, name: str, q: float) -> float:
        """Seconds below which a share `q` (0 to 1) of the durations lies; 0 if there are none."""
        found = self._found.get(name)
        value = found.get_quantile_value(q) if found is not None else None
        return float(value) if value is not None else 0.0

    def longest(self, name: str) -> float:
        return self._longest.get(name, 0.0)

    def tell(self) -> str:
        """All of them in one line, in milliseconds; then they begin anew."""
        parts = [
            f"{name} {self.count(name)} times, {1e3 * self.quantile(name, 0.5):.1f} ms in half of them, "
            f"{1e3 * self.quantile(name, 0.99):.1f} in 99%, {1e3 * self.longest(name):.1f} at most"
            for name in sorted(self._found)
        ]
        self._found, self._longest = {}, {}
        return "; ".join(parts)
