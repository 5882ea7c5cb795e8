"""Clients of the key-value store, the cloud and other controllers, over HTTP, and the runtime that they depend on."""
