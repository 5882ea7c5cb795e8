"""Rate limits, overload detection, connection limits and the schedule of garbage collection."""
