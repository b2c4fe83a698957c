"""Authenticated messages between the instances."""
