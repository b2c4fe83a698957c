"""Record types, schema versions and validation."""
