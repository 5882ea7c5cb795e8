"""Rehearsals: real controllers on loopback under faults, their histories, and what the histories are held against."""
