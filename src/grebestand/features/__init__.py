"""Interface for features: the hooks that an optional package may provide, and the files that enable a feature."""
