"""Replicated tables, the state machine over them, and decision policies."""
