"""Replicated tables and the decisions that run over them."""
