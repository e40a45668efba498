"""Tests: `cover` (quick), `slow` (many cases), `whole` (real processes)."""

import hypothesis

# Every run must give the same verdict: examples come from a fixed seed, and
# no test's verdict depends on how fast the machine is. Hypothesis also draws
# constants that stand in the product's modules, so the same files give the
# same examples, and an edit of any of them may give others.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")
