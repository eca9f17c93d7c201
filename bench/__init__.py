"""Benchmarks: ratios within one run, one module a subject."""
