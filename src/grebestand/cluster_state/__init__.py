"""State of the cluster in memory: jobs, tasks, machines, teams and allocations. No I/O and no decisions."""
