"""Distributions of durations, kept as quantile sketches of bounded size.

A mean hides the slow cases that users notice, and a list of all durations would grow with the load. A DDSketch (Masson,
Rim and Lee, 2019; implemented by its authors' library) of the durations here has a few hundred buckets at most.
"""

from __future__ import annotations

from ddsketch import LogCollapsingLowestDenseDDSketch

#: guaranteed relative error of a quantile
RELATIVE_ERROR = 0.01
#: buckets of a sketch; beyond them, the lowest are merged
MAX_BUCKETS = 512
#: shorter durations count as this one, as buckets are logarithmic and zero has none
MIN_DURATION_S = 1e-5

MS_PER_S = 1e3


class DurationSketches:
    """Sketches of durations by name, which begin anew with each summary."""

    def __init__(self) -> None:
        """Start without durations."""
        self._sketches: dict[str, LogCollapsingLowestDenseDDSketch] = {}
        self._longest_s: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        """Add a duration to the sketch of a name. Called for every heartbeat."""
        sketch = self._sketches.get(name)
        if sketch is None:
            sketch = self._sketches[name] = LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, MAX_BUCKETS)
        sketch.add(max(MIN_DURATION_S, seconds))
        if seconds > self._longest_s.get(name, 0.0):
            self._longest_s[name] = seconds

    def count(self, name: str) -> int:
        """Return the number of durations of a name."""
        sketch = self._sketches.get(name)
        return int(sketch.count) if sketch is not None else 0

    def quantile(self, name: str, q: float) -> float:
        """Return the seconds below which a part `q` (0 to 1) of a name's durations lies, or 0 if there are none."""
        sketch = self._sketches.get(name)
        value = sketch.get_quantile_value(q) if sketch is not None else None
        return float(value) if value is not None else 0.0

    def longest(self, name: str) -> float:
        """Return the longest duration of a name in seconds, or 0 if there are none."""
        return self._longest_s.get(name, 0.0)

    def tell(self) -> str:
        """Return a summary of all names in one line, in milliseconds, and remove all durations."""
        summary = "; ".join(self._summary(name) for name in sorted(self._sketches))
        self._sketches, self._longest_s = {}, {}
        return summary

    def _summary(self, name: str) -> str:
        """Return the summary of a name's durations."""
        median_ms = MS_PER_S * self.quantile(name, 0.5)
        high_ms = MS_PER_S * self.quantile(name, 0.99)
        longest_ms = MS_PER_S * self.longest(name)
        return (
            f"{name} {self.count(name)} times, {median_ms:.1f} ms in half of them, "
            f"{high_ms:.1f} in 99%, {longest_ms:.1f} at most"
        )
