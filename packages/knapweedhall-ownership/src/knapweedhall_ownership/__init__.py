"""Decision logic for ownership and configuration."""
