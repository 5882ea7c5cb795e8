"""How much this process may ask of others, and how much others may ask of it."""
