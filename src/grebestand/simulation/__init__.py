"""Deterministic simulation of whole clusters on virtual time, with injected faults and invariant checks."""
