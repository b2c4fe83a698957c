"""Runs the real programs on stand-ins: demonstration and fault soak."""
