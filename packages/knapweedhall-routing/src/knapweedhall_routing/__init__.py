"""Routing decisions of the router; does no I/O and reads no clock."""
