"""Records in the key-value store: their forms, keys and shared pages."""
