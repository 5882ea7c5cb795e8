"""Clients of what is outside: the state service, the cloud, and HTTP itself."""
