"""Data path for requests that are relayed unmodified."""
