"""The operator and the replicas' registration on a stand-in store.

Writes rows in the format of the users' platform, so that tests need not know
it.
"""

import msgspec

from nutmeghook.platform import rollout_rows
from nutmeghook.platform import tables
from nutmeghook.standins import users_store

_COMMON = {"timeoutMs": 8000, "sloMs": 1000}
_ROUTES = (
    {
        "name": "stream",
        "prefix": "/stream/",
        "routeKind": "streaming",
        "resumable": True,
        "attempts": 3,
    },
    {
        "name": "once",
        "prefix": "/once/",
        "routeKind": "non_idempotent",
        "attempts": 1,
    },
    {
        "name": "probe",
        "prefix": "/probe/",
        "routeKind": "idempotent",
        "attempts": 3,
    },
)


class StandInOperator:
    """Writes configurations and orders for one service and one team.

    Attributes:
        cold_limits: Fields of the service that limit the load of its cold
            replicas; empty for no limit.
        further_teams: API keys of further teams, by the team's name.
        version: Of the last configuration that it wrote.
    """

    __slots__ = (
        "_host",
        "_service",
        "_store",
        "cold_limits",
        "further_teams",
        "version",
    )

    def __init__(
        self, *, store: users_store.StandInStore, host: str, service: str
    ):
        self._store = store
        self._host = host
        self._service = service
        self.version = 0
        self.cold_limits: dict[str, float] = {}
        self.further_teams: dict[str, str] = {}

    def write_configuration(self, keys: tuple[str, ...]) -> None:
        """Writes the next version with a route of each kind and the keys."""
        self.version += 1
        teams = [{"name": "team", "apiKeys": list(keys)}] + [
            {"name": name, "apiKeys": [key]}
            for name, key in self.further_teams.items()
        ]
        common = _COMMON | {"host": self._host, "service": self._service}
        self._put(
            tables.OPERATOR_TABLE,
            tables.CONFIGURATION_KEY,
            {
                "version": self.version,
                "routes": [route | common for route in _ROUTES],
                "services": [{"name": self._service} | self.cold_limits],
                "tenants": teams,
            },
        )

    def list_replica(
        self,
        replica_id: str,
        *,
        address: str,
        version: str,
        leaving: bool = False,
        data_centre: str = "hall",
        cold_left_s: float = 0.0,
        slots: int = 64,
    ) -> None:
        """Writes or replaces a replica's entry."""
        self._put(
            tables.REPLICA_TABLE,
            replica_id,
            {
                "service": self._service,
                "address": address,
                "version": version,
                "zone": data_centre,
                "slots": slots,
                "state": "draining" if leaving else "ready",
                "coldLeftMs": 1000 * cold_left_s,
                "sequence": 1,
            },
        )

    def delist_replica(self, replica_id: str) -> None:
        """Deletes a replica's entry."""
        self._store.delete(tables.REPLICA_TABLE, replica_id)

    def evacuate(self, data_centre: str) -> None:
        """Orders that requests no longer go to a data centre's replicas."""
        self._put(
            tables.OPERATOR_TABLE, tables.EVACUATION_PREFIX + data_centre, {}
        )

    def end_evacuation(self, data_centre: str) -> None:
        """Ends an evacuation."""
        self._store.delete(
            tables.OPERATOR_TABLE, tables.EVACUATION_PREFIX + data_centre
        )

    def order_roll_out(self, version: str, *, within_s: float) -> None:
        """Orders a roll-out of a version."""
        self._put(
            tables.OPERATOR_TABLE,
            rollout_rows.ORDER_PREFIX + self._service,
            {"service": self._service, "to": version, "withinS": within_s},
        )

    def roll_out_state(self) -> str:
        """Returns the state of the roll-out; empty if none was written."""
        value = self._store.value(
            rollout_rows.STATUS_TABLE,
            rollout_rows.ORDER_PREFIX + self._service,
        )
        return msgspec.json.decode(value)["state"] if value else ""

    def _put(self, table: str, key: str, value: dict[str, object]) -> None:
        self._store.put(table, key, msgspec.json.encode(value))
