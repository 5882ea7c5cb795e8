"""Scheduling decisions: slot templates, bin packing, gangs, preemption, migration and scale out."""
