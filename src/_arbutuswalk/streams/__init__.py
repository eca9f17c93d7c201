"""Relaying and continuing one streamed answer."""
