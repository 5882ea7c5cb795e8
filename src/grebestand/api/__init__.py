"""HTTP interfaces for users, workers and other controllers."""
