"""Fault tests: real controllers under injected faults, their histories, and the checker of histories."""
