"""Benchmarks with regression bounds: `make bench`."""
