"""Fault tests: real controllers with injected faults, recorded event histories, and a checker of the histories."""
