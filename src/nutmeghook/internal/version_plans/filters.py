"""Predicates on replicas' entries by version."""

from collections.abc import Callable

from nutmeghook.internal.replicas import entries


def any_version(entry: entries.ReplicaEntry) -> bool:
    """Accepts every replica."""
    return True


def is_version(version: str) -> Callable[[entries.ReplicaEntry], bool]:
    """Returns a predicate for one version."""
    return lambda entry: entry.version == version


def is_one_of(
    *versions: str,
) -> Callable[[entries.ReplicaEntry], bool]:
    """Returns a predicate for some versions."""
    return lambda entry: entry.version in versions


def is_none_of(
    *versions: str,
) -> Callable[[entries.ReplicaEntry], bool]:
    """Returns a predicate for all other versions."""
    return lambda entry: entry.version not in versions
