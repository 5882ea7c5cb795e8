"""Where requests come in: users, workers, other controllers, and the HTTP server under all of them."""
