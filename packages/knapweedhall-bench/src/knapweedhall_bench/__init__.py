"""Demo launcher, load generator and experiments."""
