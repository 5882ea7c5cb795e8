"""Messages exchanged with users, workers, the cloud, the key-value store and other controllers.

The protocol names its fields after harbours and ships (`vessel`, `hull`, `quay`, `shard`, `helm`). Only this package
maps these names to the terms of cluster scheduling (machine, machine type, zone, task, fencing token), by the `rename`
argument of each message; all other packages use the scheduling terms. Messages of users, workers, the cloud and the
store are encoded as JSON, messages between controllers as MessagePack.
"""
