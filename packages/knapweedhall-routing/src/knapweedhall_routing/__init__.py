"""Decision logic of the router; no input, output or clock."""
