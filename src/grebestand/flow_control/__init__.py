"""Limits that a controller imposes on itself: request rates, connections, work under overload, garbage collection."""
