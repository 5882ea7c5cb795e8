"""Distributions of durations, as quantile sketches of bounded size.

A mean would hide the slow requests that users notice, and a list of all durations would grow with the load. A DDSketch
(Masson, Rim and Lee, 2019; implemented by the library `ddsketch` of its authors) needs at most a few hundred buckets
for the durations that are measured here.
"""

from __future__ import annotations

from ddsketch import LogCollapsingLowestDenseDDSketch

#: maximum relative error of a quantile
RELATIVE_ERROR = 0.01
#: maximum number of buckets of a sketch; if there are more, the lowest buckets are merged
MAX_BUCKETS = 512
#: Shorter durations count as this duration, because the buckets are logarithmic and none contains zero.
MIN_DURATION_S = 1e-5

MS_PER_S = 1e3


class DurationSketches:
    """Sketches of durations, by the name of what is measured. Each summary resets all sketches."""

    def __init__(self) -> None:
        self._sketches: dict[str, LogCollapsingLowestDenseDDSketch] = {}
        self._longest_s: dict[str, float] = {}

    def add(self, name: str, seconds: float) -> None:
        """Add a duration to the sketch of a name. Called for every heartbeat.

        Args:
            name: Name of what is measured.
            seconds: Duration in seconds.
        """
        sketch = self._sketches.get(name)
        if sketch is None:
            sketch = self._sketches[name] = LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, MAX_BUCKETS)
        sketch.add(max(MIN_DURATION_S, seconds))
        if seconds > self._longest_s.get(name, 0.0):
            self._longest_s[name] = seconds

    def count(self, name: str) -> int:
        """Return the number of durations that were added under a name since the last summary."""
        sketch = self._sketches.get(name)
        return int(sketch.count) if sketch is not None else 0

    def quantile(self, name: str, q: float) -> float:
        """Return a quantile of the durations of a name.

        Args:
            name: Name of what is measured.
            q: Quantile to return, from 0 to 1.

        Returns:
            The quantile in seconds, or 0 if there are no durations.
        """
        sketch = self._sketches.get(name)
        value = sketch.get_quantile_value(q) if sketch is not None else None
        return float(value) if value is not None else 0.0

    def longest(self, name: str) -> float:
        """Return the longest duration of a name in seconds, or 0 if there are no durations."""
        return self._longest_s.get(name, 0.0)

    def summarize_and_reset(self) -> str:
        """Return a one-line summary of all durations, in milliseconds, and reset all sketches."""
        summary = "; ".join(self._summary(name) for name in sorted(self._sketches))
        self._sketches, self._longest_s = {}, {}
        return summary

    def _summary(self, name: str) -> str:
        """Return the summary of the durations of a name."""
        median_ms = MS_PER_S * self.quantile(name, 0.5)
        high_ms = MS_PER_S * self.quantile(name, 0.99)
        longest_ms = MS_PER_S * self.longest(name)
        return (
            f"{name} {self.count(name)} times, {median_ms:.1f} ms in half of them, "
            f"{high_ms:.1f} in 99%, {longest_ms:.1f} at most"
        )
