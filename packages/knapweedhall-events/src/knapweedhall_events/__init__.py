"""Numbered events and trace files."""
