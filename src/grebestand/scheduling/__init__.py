"""Scheduling decisions: slot templates, placement, gangs, preemption, migration and scale-out."""
