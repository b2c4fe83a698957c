"""Demonstration, fault soak and cost measurements of the real programs."""
