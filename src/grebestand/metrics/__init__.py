"""Metrics: durations as quantile sketches."""
