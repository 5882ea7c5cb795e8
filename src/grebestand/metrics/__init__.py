"""Metrics: distributions of durations as quantile sketches."""
