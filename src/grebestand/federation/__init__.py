"""Federation: a gang that cannot start whole at home is offered, whole, to another cluster.

`home` decides about its gangs and follows them abroad, `guest` reserves machines and runs gangs of others; `messages`
has what they send each other, and `state_machines` the states of both. docs/federation.md says why a gang never runs
in two clusters.
"""
