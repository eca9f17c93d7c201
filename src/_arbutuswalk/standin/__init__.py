"""Simulated model runners, plain services and cloud platform."""
