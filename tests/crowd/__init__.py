"""Crowds of clients that don't behave, against real processes.

`python -m tests` runs these modules after all others, one at a time: what they
measure is a whole process's memory and descriptors.
"""
