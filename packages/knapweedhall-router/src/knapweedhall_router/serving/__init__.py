"""Requests of callers, and the connections that carry them."""
