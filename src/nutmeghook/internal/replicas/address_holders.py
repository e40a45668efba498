"""Which replica has an address, where the list names several."""

from nutmeghook.internal.replicas import entries


class AddressHolders:
    """The newest entry at each address.

    A replica that ends stays on the list for some seconds. Its successor at the
    same address is listed beside it, and its row is the newer one.
    """

    __slots__ = ("_by_address",)

    def __init__(self):
        self._by_address: dict[str, entries.ReplicaEntry] = {}

    def has_successor(self, entry: entries.ReplicaEntry) -> bool:
        """Tells whether another replica has taken an entry's address since."""
        holder = self._by_address.get(entry.address)
        return (
            holder is not None
            and holder.replica_id != entry.replica_id
            and 0 < entry.row_version < holder.row_version
        )

    def add(self, entry: entries.ReplicaEntry) -> str | None:
        """Takes in an entry that has no successor.

        Returns:
            The id of the replica that had the address before; None if none had.
        """
        former = self._by_address.get(entry.address)
        self._by_address[entry.address] = entry
        if former is None or former.replica_id == entry.replica_id:
            return None
        is_newer = 0 < former.row_version < entry.row_version
        return former.replica_id if is_newer else None

    def release(self, entry: entries.ReplicaEntry) -> None:
        """Takes in that a replica is gone."""
        holder = self._by_address.get(entry.address)
        if holder is not None and holder.replica_id == entry.replica_id:
            del self._by_address[entry.address]
