"""Remembers replicas whose entry is gone, in case it returns.

Entries expire while the store is away, and live replicas write them again. What
a replica has stated in its answers still holds then.
"""

import collections

from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica as replica_module

# Most entries return within seconds of an outage; this many are more than half
# of the largest fleet of replicas.
_MAX_REMEMBERED = 2_500


class LapsedReplicas:
    """The replicas whose entries were removed last."""

    __slots__ = ("_by_id",)

    def __init__(self):
        self._by_id: collections.OrderedDict[str, replica_module.Replica] = (
            collections.OrderedDict()
        )

    def remember(self, replica: replica_module.Replica) -> None:
        """Remembers a replica whose entry is removed."""
        replica_id = replica.entry.replica_id
        self._by_id[replica_id] = replica
        self._by_id.move_to_end(replica_id)
        if len(self._by_id) > _MAX_REMEMBERED:
            self._by_id.popitem(last=False)

    def take(
        self, entry: entries.ReplicaEntry
    ) -> replica_module.Replica | None:
        """Returns and forgets the replica of an entry that has returned.

        Returns:
            None if the entry is of another start, or of an unknown replica.
        """
        replica = self._by_id.pop(entry.replica_id, None)
        if replica is None or not replica.entry.is_same_start(entry):
            return None
        return replica
