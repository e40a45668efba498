"""The configuration in force on this instance; its revision never falls."""

import asyncio
import collections
import datetime

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.config import store as store_module
from nutmeghook.internal.config import view
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import events as events_module

# Changes kept for peers that are slightly behind; others get the whole state.
_MAX_RECENT_CHANGES = 64


class ConfigReplica(view.ConfigView):
    """Holds the newest state that this instance has received.

    Every source (a read of the store, a push, an exchange with a peer, a
    message delayed by a frozen process) goes through `apply_changes` or
    `apply_state`, which ignore what is not newer. So a stale message can't
    revert the configuration.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_events",
        "_recent_changes",
        "_revision_changed",
        "_state",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        events: events_module.EventRing,
    ):
        self._clock = clock
        self._events = events
        self._state = state_module.EMPTY_STATE
        self._confirmed_at: datetime.timedelta | None = None
        self._recent_changes: collections.deque[rows.Change] = (
            collections.deque(maxlen=_MAX_RECENT_CHANGES)
        )
        self._revision_changed = asyncio.Event()

    @property
    def state(self) -> state_module.ConfigState:
        """The snapshot with its documents' revisions."""
        return self._state

    @property
    def snapshot(self) -> documents.Snapshot:
        """The configuration in force; its revision never goes back."""
        return self._state.snapshot

    @property
    def revision(self) -> int:
        """The snapshot's revision."""
        return self._state.revision

    @property
    def confirmed_at(self) -> datetime.timedelta | None:
        """Monotonic time up to which every committed change is included."""
        return self._confirmed_at

    def confirmed_age(self) -> datetime.timedelta | None:
        """Time since the snapshot was known to be the newest."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def apply_changes(self, changes: list[rows.Change]) -> bool:
        """Applies consecutive changes; returns whether any was new.

        Changes after a gap are ignored, and the next exchange sends what is
        missing: applying them would lose the change in the gap permanently.
        """
        state = self._state
        for change in changes:
            if change.revision != state.revision + 1:
                continue
            state = state.with_change(change)
            self._recent_changes.append(change)
        if state is self._state:
            return False
        self._put_in_force(state)
        return True

    def apply_state(self, state: state_module.ConfigState) -> bool:
        """Applies a whole state; returns whether it was newer."""
        if state.revision <= self.revision:
            return False
        self._recent_changes.clear()
        self._put_in_force(state)
        return True

    def apply_catch_up(self, catch_up: store_module.CatchUp) -> None:
        """Applies what was read from the store.

        Changes are preferred to the whole state: they are kept, so that peers
        which lack only them are sent a kilobyte instead of everything.
        """
        if catch_up.changes is None:
            self.apply_state(catch_up.state)
        else:
            self.apply_changes(catch_up.changes)

    def confirm(self, revision: int, proven_at: datetime.timedelta) -> None:
        """Records that at `proven_at` no later revision was committed.

        Args:
            revision: The newest revision then; ignored if this replica is
                behind it.
            proven_at: Monotonic time, no later than the evidence was taken.
        """
        if revision > self.revision:
            return
        if self._confirmed_at is None or proven_at > self._confirmed_at:
            self._confirmed_at = proven_at

    def recent_changes_after(self, revision: int) -> list[rows.Change] | None:
        """Returns the changes after a revision; None if not all are kept."""
        if revision >= self.revision:
            return []
        if (
            not self._recent_changes
            or self._recent_changes[0].revision > revision + 1
        ):
            return None
        return [
            change
            for change in self._recent_changes
            if change.revision > revision
        ]

    async def wait_for_new_revision(self) -> None:
        """Waits until the revision rises."""
        await self._revision_changed.wait()

    def _put_in_force(self, state: state_module.ConfigState) -> None:
        """Replaces the state; nothing else does.

        Each replacement is recorded with the revision before it, so that even
        a momentary decrease would show in the events.
        """
        before = self.revision
        self._state = state
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()
        self._events.record(
            events_module.EventKind.CONFIG_APPLIED,
            str(self.revision),
            before=str(before),
        )
