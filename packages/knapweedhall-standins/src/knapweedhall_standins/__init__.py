"""Test doubles of the platform's store, of an upstream and of a TCP proxy."""
