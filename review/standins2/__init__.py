"""Stand-ins for the state service, the cloud, workers and users, for the cases of the second review."""
