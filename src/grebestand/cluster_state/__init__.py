"""In-memory state of the cluster: jobs, tasks, machines, teams and allocations. Does no I/O and no scheduling."""
