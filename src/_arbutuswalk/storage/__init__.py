"""Segmented log and snapshots on local disk."""
