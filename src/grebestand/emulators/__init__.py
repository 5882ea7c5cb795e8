"""Emulators of the systems around a controller, each with its protocol: key-value store, cloud and workers."""
