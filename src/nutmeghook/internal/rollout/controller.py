"""Drives all roll-outs from the one instance that holds their lease.

The controller keeps no state of its own: shares are in the templates, ratings
and reserved allowances in one row. Any instance that gets the lease continues
from there, and a step that two holders both try takes effect once.
"""

import datetime

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.dependencies import table as table_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.rollout import allowance as allowance_module
from nutmeghook.internal.rollout import config_editor
from nutmeghook.internal.rollout import decisions
from nutmeghook.internal.rollout import pool as pool_module

TICK = datetime.timedelta(seconds=1)
_PAGES_PER_TICK = 5
# Longest time for which ratings that change no decision stay unwritten. A
# successor reads them from the rating service again, from the row's cursor on.
_WRITE_INTERVAL = datetime.timedelta(seconds=10)


class RolloutController:
    """Reads ratings, reserves allowances, and grows or withdraws versions."""

    __slots__ = (
        "_clock",
        "_dirty",
        "_editor",
        "_events",
        "_keeper",
        "_lease",
        "_pool",
        "_ratings",
        "_refused_at",
        "_row_version",
        "_table",
        "_view",
        "_waiting",
        "_written_at",
    )

    def __init__(
        self,
        *,
        view: view_module.ConfigView,
        lease: lease_module.Lease,
        table: table_module.TableService,
        ratings: ratings_module.RatingService,
        editor: config_editor.ConfigEditor,
        keeper: allowance_module.AllowanceKeeper,
        clock: clock_module.Clock,
        events: events_module.EventRing,
    ):
        self._view = view
        self._lease = lease
        self._table = table
        self._ratings = ratings
        self._editor = editor
        self._keeper = keeper
        self._clock = clock
        self._events = events
        self._pool: pool_module.Pool | None = None
        # Whether the pool in memory is ahead of the row.
        self._dirty = False
        # Revision of the configuration at which a step was refused.
        self._refused_at: dict[pool_module.VersionKey, int] = {}
        self._row_version = table_module.ABSENT_VERSION
        self._written_at = clock.monotonic() - _WRITE_INTERVAL
        self._waiting: set[pool_module.VersionKey] = set()

    async def run(self) -> None:
        """Runs a step each tick until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(TICK)

    async def step(self) -> None:
        """Does all that can be done now, if the lease is held.

        Any failure of the platform ends the step; the next one starts from
        the row again.
        """
        token = self._lease.fencing_token()
        if token is None:
            self._pool = None
            return
        try:
            await self._step(token)
        except failures.PlatformError:
            # A write may be in doubt; only the row shows its outcome.
            self._pool = None

    async def _step(self, token: int) -> None:
        self._keeper.begin(token)
        pool = self._pool
        if pool is None:
            pool = await self._read_pool()
        new_ratings = await self._new_ratings(pool.cursor)
        snapshot = self._view.snapshot
        if snapshot.revision < pool.revision:
            # This instance has not received a change that its predecessor
            # acted on. It would take a running roll-out for a new one, without
            # unrated answers, and grant its allowance a second time.
            return
        after = pool_module.taken_over_by(pool, token)
        # Ratings are added first: those read before a roll-out restarts do not
        # belong to the new one.
        after = pool_module.with_ratings(after, new_ratings, snapshot)
        after = pool_module.with_versions_of(after, snapshot)
        after = pool_module.with_checkpoint(after, self._clock.now())
        after = decisions.with_allowance(after, snapshot, self._keeper)
        self._dirty = self._dirty or after != pool
        if self._must_write(pool, after) and not await self._commit(after):
            self._pool = None
            return
        self._pool = after
        self._keeper.publish(after)
        self._record_verdicts(pool, after)
        self._record_waiting(after, snapshot)
        for step in decisions.steps(after, snapshot):
            await self._apply(step, snapshot.revision)

    def _must_write(
        self, before: pool_module.Pool, after: pool_module.Pool
    ) -> bool:
        """Tells whether the pool has to be written to the row now.

        Allowances are granted and versions withdrawn only after the row says
        so; otherwise a successor would not know.
        """
        if not self._dirty:
            return False
        waited = self._clock.monotonic() - self._written_at
        return waited >= _WRITE_INTERVAL or pool_module.must_be_durable(
            before, after
        )

    async def _read_pool(self) -> pool_module.Pool:
        self._dirty = False
        row = await self._table.read(pool_module.ROW_KEY)
        if row is None:
            self._row_version = table_module.ABSENT_VERSION
            return pool_module.Pool()
        self._row_version = row.version
        return pool_module.decode(row.value)

    async def _new_ratings(self, cursor: int) -> list[ratings_module.Rating]:
        """Reads the ratings after the cursor; none if the service is out.

        Withdrawals that are already decided must not wait for the rating
        service, so its failure does not end the step.
        """
        return await ratings_module.read_new(
            self._ratings, cursor, max_pages=_PAGES_PER_TICK
        )

    async def _commit(self, pool: pool_module.Pool) -> bool:
        """Writes the row unless the lease's row or this one has changed."""
        result = await self._table.commit(
            table_module.Transaction(
                conditions=(
                    table_module.Condition(
                        key=self._lease.row_key,
                        version=self._lease.row_version(),
                    ),
                    table_module.Condition(
                        key=pool_module.ROW_KEY, version=self._row_version
                    ),
                ),
                puts=(
                    table_module.Put(
                        key=pool_module.ROW_KEY, value=pool_module.encode(pool)
                    ),
                ),
            )
        )
        if result.committed:
            self._row_version = result.versions[0]
            self._written_at = self._clock.monotonic()
            self._dirty = False
        return result.committed

    async def _apply(self, step: config_editor.Step, revision: int) -> None:
        """Applies a step if the lease is held now.

        A step that was refused, for example since it would leave a stage
        without a version, is retried only after the configuration has changed:
        each try would add a refused operation to the store, every second.
        """
        if self._lease.fencing_token() is None:
            return
        if self._refused_at.get(step.key) == revision:
            return
        outcome = await self._editor.apply(step)
        if outcome is config_editor.StepOutcome.ACCEPTED:
            self._refused_at.clear()
            self._record(_accepted_kind(step), step)
            self._drop_if_withdrawn(step)
        elif outcome is config_editor.StepOutcome.REFUSED:
            self._refused_at[step.key] = revision
            self._record(events_module.EventKind.ROLLOUT_STEP_REFUSED, step)

    def _drop_if_withdrawn(self, step: config_editor.Step) -> None:
        """Removes the watch of a version that was withdrawn.

        An operator may roll it out again at once; the old verdict must not
        withdraw it a second time.
        """
        if not step.withdraws or self._pool is None:
            return
        watches = tuple(w for w in self._pool.watches if w.key != step.key)
        self._pool = msgspec.structs.replace(self._pool, watches=watches)
        self._dirty = True

    def _record_verdicts(
        self, before: pool_module.Pool, after: pool_module.Pool
    ) -> None:
        bad_before = before.bad_versions()
        for watch in after.watches:
            if watch.key in after.bad_versions() - bad_before:
                self._events.record(
                    events_module.EventKind.ROLLOUT_STOPPED,
                    str(watch.key.model_version),
                    template=f"{watch.key.team}/{watch.key.template}",
                    ratings=str(watch.evidence.ratings),
                    bad=str(watch.evidence.bad),
                )

    def _record_waiting(
        self, pool: pool_module.Pool, snapshot: documents.Snapshot
    ) -> None:
        """Records an event when a roll-out begins to wait for ratings."""
        waiting = {
            watch.key
            for watch in pool.watches
            if decisions.waits_for_ratings(watch, snapshot)
        }
        for key in waiting - self._waiting:
            self._events.record(
                events_module.EventKind.ROLLOUT_WAITING,
                str(key.model_version),
                template=f"{key.team}/{key.template}",
            )
        self._waiting = waiting

    def _record(
        self, kind: events_module.EventKind, step: config_editor.Step
    ) -> None:
        self._events.record(
            kind,
            str(step.key.model_version),
            template=f"{step.key.team}/{step.key.template}",
            share_percent=f"{step.share_percent:g}",
            reason=step.reason,
        )


def _accepted_kind(step: config_editor.Step) -> events_module.EventKind:
    if step.withdraws:
        return events_module.EventKind.VERSION_WITHDRAWN
    return events_module.EventKind.ROLLOUT_ADVANCED
