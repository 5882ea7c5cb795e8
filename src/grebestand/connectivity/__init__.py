"""Health of this controller's links, and access to the key-value store through another controller."""
