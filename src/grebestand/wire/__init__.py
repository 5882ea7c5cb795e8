"""Messages of the protocols that others speak: users, workers, the cloud, the key-value store, other controllers.

The protocol names its fields by a theme of harbours and ships (`vessel`, `hull`, `quay`, `shard`, `helm`). The mapping
of these words to the field's terms (machine, machine type, zone, task, fencing token) happens only in this package, by
the `rename` argument of each message; everywhere else the field's terms are used. Messages of users, workers, the cloud
and the store are JSON. Messages of controllers are MessagePack, with the names of the attributes as they are.
"""
