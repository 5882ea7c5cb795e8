"""Workers' reports over any controller: who keeps which workers, batches to the leader, and what it answers them."""
