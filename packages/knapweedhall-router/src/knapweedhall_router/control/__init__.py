"""Assignment of keys, membership and what is read from the store."""
