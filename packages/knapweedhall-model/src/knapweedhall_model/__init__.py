"""Model of the core protocol, and its exhaustive exploration."""
