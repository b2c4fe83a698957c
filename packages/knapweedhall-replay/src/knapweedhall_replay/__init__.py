"""Checker for recorded traces."""
