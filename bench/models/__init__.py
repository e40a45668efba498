"""Small models of what surrounds the decisions, for the benchmarks."""
