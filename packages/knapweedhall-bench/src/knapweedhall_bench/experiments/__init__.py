"""Experiments: the load policy under faults, on separate processes."""
