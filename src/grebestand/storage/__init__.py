"""Records in the key-value store: their types, their keys, and the packing of many small records into few keys."""
