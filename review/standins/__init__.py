"""Small stand-ins for the state service, the cloud, workers and users, written from the users' pages alone."""
