"""Health of a controller's network links, and access to the key-value store through a peer."""
