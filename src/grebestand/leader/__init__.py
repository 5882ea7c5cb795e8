"""Leader election and what a leader does in its term: recovery, reconciliation, durable grants, provisioning."""
