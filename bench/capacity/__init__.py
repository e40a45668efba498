"""Measures the slopes behind docs/CAPACITY.md and writes its tables."""
