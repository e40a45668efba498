"""Conditions of an instance that need an operator's attention."""

import datetime

import msgspec

from nutmeghook.internal.administration import status
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.ledger import factory as ledger_factory
from nutmeghook.internal.rollout import decisions
from nutmeghook.internal.rollout import pool as pool_module

# Changes must be in force on all instances within this time. An instance whose
# configuration was not confirmed for longer may lack one.
MAX_CONFIRMED_AGE = datetime.timedelta(seconds=4)


class UnconfirmedConfiguration(status.WaitingSource):
    """Reports that a newer configuration may exist."""

    __slots__ = ("_view",)

    def __init__(self, *, view: view_module.ConfigView):
        self._view = view

    async def waiting(self, team: str | None) -> list[str]:
        """Returns a sentence while the last confirmation is too old."""
        age = self._view.confirmed_age()
        if age is None:
            return ["the configuration of this instance was never confirmed"]
        if age <= MAX_CONFIRMED_AGE:
            return []
        return [
            f"the configuration of this instance was last confirmed "
            f"{age.total_seconds():.0f} s ago"
        ]


class StoresOut(status.WaitingSource):
    """Reports the stores that this instance considers out."""

    __slots__ = ("_ledger",)

    def __init__(self, *, ledger: ledger_factory.InstanceLedger):
        self._ledger = ledger

    async def waiting(self, team: str | None) -> list[str]:
        """Returns a sentence for each store that is out."""
        found = []
        if self._ledger.table_health.is_out:
            found.append("this instance takes the table service to be out")
        if self._ledger.objects_health.is_out:
            found.append("this instance takes the object store to be out")
        return found


class BillsWaiting(status.WaitingSource):
    """Reports to administrators the bills that are not in the log yet."""

    __slots__ = ("_ledger",)

    def __init__(self, *, ledger: ledger_factory.InstanceLedger):
        self._ledger = ledger

    async def waiting(self, team: str | None) -> list[str]:
        """Returns a sentence while bills of this instance wait."""
        count = self._ledger.bills_waiting()
        # The objects hold bills of all teams, and only administrators can act.
        if team is not None or count == 0:
            return []
        return [
            f"objects with bills of this instance that wait for the table "
            f"service: {count}"
        ]


class RollOutsWaiting(status.WaitingSource):
    """Reports the roll-outs that are stopped until ratings arrive.

    Any instance may be asked, and only the holder of the roll-outs' lease has
    them in memory, so this reads their row in the table. Ratings of the last
    ten seconds may be missing there.
    """

    __slots__ = ("_table", "_view")

    def __init__(
        self,
        *,
        view: view_module.ConfigView,
        table: table_module.TableService,
    ):
        self._view = view
        self._table = table

    async def waiting(self, team: str | None) -> list[str]:
        """Returns a sentence for each roll-out that waits."""
        try:
            row = await self._table.read(pool_module.ROW_KEY)
            pool = pool_module.decode(row.value) if row else pool_module.Pool()
        except (
            failures.PlatformError,
            msgspec.MsgspecError,
            RecursionError,
        ):
            return ["which roll-outs wait for ratings can't be read now"]
        snapshot = self._view.snapshot
        return [
            _sentence(watch)
            for watch in pool.watches
            if team in (None, watch.key.team)
            and decisions.waits_for_ratings(watch, snapshot)
        ]


def _sentence(watch: pool_module.Watch) -> str:
    key = watch.key
    return (
        f"{key.model_version} in template {key.team}/{key.template} waits for "
        f"ratings at {watch.share_percent:g}%: {watch.unrated_answers()} "
        f"answers are unrated"
    )


def sources(
    *,
    view: view_module.ConfigView,
    ledger: ledger_factory.InstanceLedger,
) -> tuple[status.WaitingSource, ...]:
    """Returns all sources of an instance, the most urgent first."""
    return (
        StoresOut(ledger=ledger),
        UnconfirmedConfiguration(view=view),
        RollOutsWaiting(view=view, table=ledger.table),
        BillsWaiting(ledger=ledger),
    )
