"""Records in the key-value store: their forms, their keys, and pages that many small records share."""
