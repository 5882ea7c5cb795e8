"""Who leads, and what a leader does in its term: taking over, proof, grants, progress, closing, rentals."""
