"""Reconciliation of workers' heartbeats with the cluster state, and the commands they are answered with."""
