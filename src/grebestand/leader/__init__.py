"""Leader election, and the components of a leader's term: recovery, reconciliation, durable grants, provisioning."""
