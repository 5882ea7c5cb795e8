"""HTTP clients of the key-value store, the cloud and other controllers, and the runtime that they depend on."""
