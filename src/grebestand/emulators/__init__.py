"""Emulators of what surrounds a controller (key-value store, cloud, workers), each by its protocol."""
