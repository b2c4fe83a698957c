"""Catalogue of log events, and a timeline of the logs."""
