"""Applies rows of the platform's tables to the router's state."""

from nutmeghook.internal.dependencies import revisions
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import unreadable_values
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import evacuations as evacuations_module
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.table_replication import follower
from nutmeghook.internal.table_replication import source
from nutmeghook.internal.version_plans import orders as orders_module
from nutmeghook.platform import configuration as configuration_wire
from nutmeghook.platform import replicas as replicas_wire
from nutmeghook.platform import rollout_rows

OPERATOR_TABLE = "op"
REPLICA_TABLE = "servers"
CONFIGURATION_KEY = "config"
# Followed by the data centre's name; the row's value is not used.
EVACUATION_PREFIX = "evacuate/"
# By table, the rows whose values tell which is the newer: a configuration
# states its version.
ORDERED_KEYS = {OPERATOR_TABLE: frozenset({CONFIGURATION_KEY})}
_FROM_STORE = "store"


class OperatorRows(follower.TableListener):
    """Applies the operator's configuration, orders and evacuations."""

    __slots__ = ("_configuration", "_evacuations", "_orders", "_unreadable")

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        orders: orders_module.OrderRegistry,
        evacuations: evacuations_module.EvacuationRegistry,
        unreadable: unreadable_values.UnreadableValues,
    ):
        self._unreadable = unreadable
        self._configuration = configuration
        self._orders = orders
        self._evacuations = evacuations

    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Applies the whole table; an order missing from it has ended."""
        present = {row.key for row in rows if not row.deleted}
        for order in self._orders.all():
            if rollout_rows.ORDER_PREFIX + order.service not in present:
                self._orders.withdraw(order.service)
        self._evacuations.replace(
            key.removeprefix(EVACUATION_PREFIX)
            for key in present
            if key.startswith(EVACUATION_PREFIX)
        )
        self.change(rows)

    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Applies changes; a malformed row is logged and changes nothing."""
        for row in rows:
            try:
                self._apply(row)
            except ValueError as error:
                logs.note("operator:bad_row", key=row.key, error=str(error))
                self._unreadable.count("operator row")

    def _apply(self, row: source.FollowedRow) -> None:
        if row.key == CONFIGURATION_KEY and not row.deleted:
            configuration = configuration_wire.decode(row.value)
            self._configuration.offer(
                configuration, text=row.value, source=_FROM_STORE
            )
            self._configuration.note_stored(
                configuration.version,
                is_whole_history=not revisions.epoch_of(row.version),
            )
        elif row.key.startswith(rollout_rows.ORDER_PREFIX):
            service = row.key.removeprefix(rollout_rows.ORDER_PREFIX)
            if row.deleted:
                self._orders.withdraw(service)
            else:
                self._orders.place(
                    rollout_rows.decode_order(row.value, row.version)
                )
        elif row.key.startswith(EVACUATION_PREFIX):
            data_centre = row.key.removeprefix(EVACUATION_PREFIX)
            if row.deleted:
                self._evacuations.restore(data_centre)
            else:
                self._evacuations.evacuate(data_centre)


class ReplicaRows(follower.TableListener):
    """Applies the replica list."""

    __slots__ = ("_directory", "_unreadable")

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        unreadable: unreadable_values.UnreadableValues,
    ):
        self._directory = directory
        self._unreadable = unreadable

    def replace(
        self, rows: tuple[source.FollowedRow, ...], revision: int
    ) -> None:
        """Applies the whole list."""
        found = [self._entry(row) for row in rows if not row.deleted]
        self._directory.replace(e for e in found if e is not None)

    def change(self, rows: tuple[source.FollowedRow, ...]) -> None:
        """Applies changes."""
        for row in rows:
            if row.deleted:
                self._directory.remove(row.key)
                continue
            entry = self._entry(row)
            if entry is not None:
                self._directory.put(entry)

    def _entry(self, row: source.FollowedRow) -> entries.ReplicaEntry | None:
        """Decodes a row; an invalid one affects only its own replica."""
        try:
            return replicas_wire.decode(row.key, row.value, row.version)
        except ValueError as error:
            logs.note("replica:bad_row", key=row.key, error=str(error))
            self._unreadable.count("replica row")
            self._directory.reject(row.key)
            return None
