"""Heartbeat relay: any controller receives heartbeats from workers and forwards them to the leader in batches."""
