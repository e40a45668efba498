"""Sets the gauges of an instance's state at each scrape."""

import collections

from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.ledger import factory as ledger_factory
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.suspects import gauges as suspect_gauges
from nutmeghook.internal.suspects import registry as registry_module

# Shown while the revision was never confirmed as the newest, as after a start
# during an outage, so that an alarm on the age fires.
NEVER_CONFIRMED_S = 1e9


class Gauges:
    """Reads the instance's state; nothing is measured between scrapes."""

    __slots__ = (
        "_config",
        "_connections",
        "_ledger",
        "_members",
        "_metrics",
        "_suspects",
    )

    def __init__(
        self,
        *,
        metrics: metrics_module.Metrics,
        config: view_module.ConfigView,
        members: members_module.MemberView,
        ledger: ledger_factory.InstanceLedger,
        suspects: registry_module.SuspectRegistry,
        connections: connection_table.ConnectionTable,
    ):
        self._suspects = suspects
        self._connections = connections
        self._metrics = metrics
        self._config = config
        self._members = members
        self._ledger = ledger

    def refresh(self) -> None:
        """Sets all gauges to the present state."""
        age = self._config.confirmed_age()
        self._metrics.set("config_revision", self._config.snapshot.revision)
        self._metrics.set(
            "config_confirmed_age_seconds",
            NEVER_CONFIRMED_S if age is None else age.total_seconds(),
        )
        healths = collections.Counter(
            member.health for member in self._members.members()
        )
        for health in members_module.MemberHealth:
            if health is members_module.MemberHealth.DEAD:
                # Dead members are no longer in the view.
                continue
            self._metrics.set(
                "members", healths[health], health=health.name.lower()
            )
        self._metrics.set("store_out", int(self._ledger.table_health.is_out))
        self._metrics.set("bills_waiting", self._ledger.bills_waiting())
        suspect_gauges.set_gauges(self._metrics, self._suspects)
        self._connections.set_gauges()
        self._metrics.set("leases_held", self._ledger.service.held())
