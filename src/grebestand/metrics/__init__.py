"""Metrics: distributions of durations, kept as quantile sketches of bounded size."""
