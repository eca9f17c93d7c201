"""Workload sender that checks every answer."""
