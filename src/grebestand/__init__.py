"""grebestand: a cluster scheduler that reserves slots by a greedy template per machine."""

__version__ = "0.1.0"
