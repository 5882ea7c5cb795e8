"""Reconciliation of workers' heartbeats with the cluster state, and the commands in the responses."""
