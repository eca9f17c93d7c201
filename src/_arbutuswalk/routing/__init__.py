"""Choosing an upstream for one attempt."""
