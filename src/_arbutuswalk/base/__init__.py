"""Clocks, log events, metrics, settings and start-up shared by all layers."""
