"""Load, experiments and their proof: runs a whole system and judges it.

Nothing here is imported by a serving instance. Unlike an instance, the
experiment may start processes and write files.
"""
