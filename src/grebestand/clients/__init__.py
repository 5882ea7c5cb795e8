"""Clients of the key-value store, the cloud and other controllers, over HTTP."""
