"""Finds the current replica where several entries share an address."""

from nutmeghook.internal.replicas import entries


class AddressHolders:
    """Tracks the newest entry at each address.

    A replica that has ended stays listed for some seconds. A successor at the
    same address is listed beside it, with a newer row version.
    """

    __slots__ = ("_by_address",)

    def __init__(self):
        self._by_address: dict[str, entries.ReplicaEntry] = {}

    def holds(self, address: str) -> bool:
        """Tells whether any entry has an address."""
        return address in self._by_address

    def has_successor(self, entry: entries.ReplicaEntry) -> bool:
        """Returns whether a newer replica holds the entry's address."""
        holder = self._by_address.get(entry.address)
        return (
            holder is not None
            and holder.replica_id != entry.replica_id
            and 0 < entry.row_version < holder.row_version
        )

    def add(self, entry: entries.ReplicaEntry) -> str | None:
        """Records an entry that has no successor.

        Returns:
            The id of the replica that it replaces at its address, or None.
        """
        former = self._by_address.get(entry.address)
        self._by_address[entry.address] = entry
        if former is None or former.replica_id == entry.replica_id:
            return None
        is_newer = 0 < former.row_version < entry.row_version
        return former.replica_id if is_newer else None

    def release(self, entry: entries.ReplicaEntry) -> None:
        """Removes the entry of a replica that is gone."""
        holder = self._by_address.get(entry.address)
        if holder is not None and holder.replica_id == entry.replica_id:
            del self._by_address[entry.address]
