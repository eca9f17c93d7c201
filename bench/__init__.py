"""Benchmarks, one module per subject; they compare within one run."""
