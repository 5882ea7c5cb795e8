"""HTTP handlers for users, workers and other controllers."""
