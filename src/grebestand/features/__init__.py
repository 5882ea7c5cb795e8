"""The interface for features: the hooks that an optional package may use, and how a process switches it on."""
