"""Federation: a gang whose tasks cannot all start in its home cluster is offered, as a whole, to another cluster.

`home` assigns this cluster's gangs to other clusters and follows them there; `guest` reserves machines for gangs of
other clusters and runs them; `messages` defines the messages between the two sides, and `state_machines` their states.
docs/federation.md says why a gang never runs in two clusters.
"""
