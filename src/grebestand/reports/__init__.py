"""The dialogue with a worker: what a report proves, and which commands its answer carries. Holds no I/O."""
