"""Limits that a controller imposes on itself: request rates, connections, load shedding and garbage collection."""
