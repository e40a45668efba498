"""Tests: `cover` (quick), `slow` (many cases), `whole` (real processes)."""

import hypothesis

# Every run must give the same verdict: examples come from a fixed seed, and
# no test's verdict depends on how fast the machine is.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")
