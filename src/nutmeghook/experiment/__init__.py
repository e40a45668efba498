"""Load generation and trials: runs a whole system and checks the outcome.

No serving instance imports this package. Unlike an instance, an experiment
may start processes and write files.
"""
