"""Upstream connections, attempts and streamed responses."""
