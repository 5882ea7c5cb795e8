"""Heartbeats received by any controller and forwarded to the leader in batches."""
