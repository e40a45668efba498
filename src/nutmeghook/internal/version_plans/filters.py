"""Tests of replicas' entries by their version."""

from collections.abc import Callable

from nutmeghook.internal.replicas import entries


def any_version(entry: entries.ReplicaEntry) -> bool:
    """Accepts all."""
    return True


def is_version(version: str) -> Callable[[entries.ReplicaEntry], bool]:
    """Returns a test for one version."""
    return lambda entry: entry.version == version


def is_not_version(version: str) -> Callable[[entries.ReplicaEntry], bool]:
    """Returns a test for all others."""
    return lambda entry: entry.version != version
