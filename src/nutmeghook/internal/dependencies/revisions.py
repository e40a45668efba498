"""Revisions of a store that may be restored from an older copy.

A restored store gives out the versions again that it has lost, for other
contents. So a revision combines the epoch of the store, which grows with each
restore, and the version within it. Their order tells which of two states is
newer, and equal revisions mean equal contents.

A store that states no epoch is in epoch 0, where revisions are its versions.
"""

# Versions of one epoch stay below 2 to this power.
_VERSION_BITS = 40
MAX_VERSION = (1 << _VERSION_BITS) - 1
MAX_EPOCH = 1_000_000
MAX_REVISION = (MAX_EPOCH << _VERSION_BITS) + MAX_VERSION


def combine(epoch: int, version: int) -> int:
    """Returns the revision of a version."""
    return (epoch << _VERSION_BITS) + version


def epoch_of(revision: int) -> int:
    """Returns a revision's epoch; -1 for the revision before the first, -1."""
    return revision >> _VERSION_BITS


def version_of(revision: int) -> int:
    """Returns the store's version."""
    return revision - (epoch_of(revision) << _VERSION_BITS)
