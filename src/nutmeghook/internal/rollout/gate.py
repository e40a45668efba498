"""An instance's side of exposure: leave in hand, fetched ahead of use."""

import asyncio
import dataclasses
import datetime
import random

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.leases import preference
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.rollout import exposure
from nutmeghook.internal.rollout import pool as pool_module

LEASE_NAME = "rollouts"
_ASK_TIMEOUT = datetime.timedelta(milliseconds=500)
_PAUSE_WITHOUT_HOLDER = datetime.timedelta(seconds=1)
# How long after the last request for a version leave is kept ready for it.
_INTEREST_LASTS = datetime.timedelta(minutes=10)
_LARGEST_ASK = 16
_NO_TIME = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True)
class Purse:
    """Leave of one version on this instance.

    Attributes:
        left: Answers that may be sent; more than 0 only without debt.
        debt: Answers sent without leave, to be paid from later leave.
        unused: Answers of ended grants that were not sent, to be given back.
        demand: Answers wanted since the last grant; sizes the next ask.
        valid_until: Monotonic time at which `left` lapses.
        wanted_at: Monotonic time of the last request for the version.
        wake: Set when there is reason to ask.
    """

    key: pool_module.VersionKey
    wanted_at: datetime.timedelta
    left: int = 0
    debt: int = 0
    unused: int = 0
    demand: int = 0
    valid_until: datetime.timedelta = _NO_TIME
    rollout_id: int = 0
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class GrantedExposureGate(exposure.ExposureGate):
    """Takes from leave that the lease holder granted earlier.

    Without a reachable holder the leave in hand runs out, and new sessions
    get the serving version: the roll-out pauses, no caller waits, and no
    answer goes uncounted.
    """

    __slots__ = ("_caller", "_clock", "_members", "_purses", "_random", "_work")

    def __init__(
        self,
        *,
        caller: peers.PeerCaller,
        members: members_module.MemberView,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._caller = caller
        self._members = members
        self._clock = clock
        self._random = random_source
        self._purses: dict[pool_module.VersionKey, Purse] = {}
        self._work: set[asyncio.Task[None]] = set()

    def try_take(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> bool:
        """Takes leave for one answer, if some is in hand."""
        purse = self._purse(template, model_version)
        self._lapse(purse)
        purse.demand += 1
        granted = purse.left > 0
        if granted:
            purse.left -= 1
        if not purse.left:
            purse.wake.set()
        return granted

    def take_regardless(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Counts an answer that is sent whether there is leave or not."""
        purse = self._purse(template, model_version)
        self._lapse(purse)
        purse.demand += 1
        if purse.left > 0:
            purse.left -= 1
        else:
            purse.debt += 1
            purse.wake.set()

    def give_back(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Returns leave taken for an answer that will not be sent."""
        purse = self._purse(template, model_version)
        purse.demand = max(0, purse.demand - 1)
        if purse.debt > 0:
            purse.debt -= 1
        elif self._clock.monotonic() < purse.valid_until:
            purse.left += 1
        else:
            purse.unused += 1

    async def close(self) -> None:
        """Stops fetching; leave in hand is lost, which errs to the safe."""
        work = list(self._work)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)

    def _purse(
        self,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> Purse:
        key = pool_module.VersionKey(
            team=template.team,
            template=template.name,
            model_version=model_version,
        )
        now = self._clock.monotonic()
        purse = self._purses.get(key)
        if purse is None:
            purse = Purse(key=key, wanted_at=now)
            self._purses[key] = purse
            self._start(purse)
        purse.wanted_at = now
        return purse

    def _start(self, purse: Purse) -> None:
        task = asyncio.get_running_loop().create_task(self._keep(purse))
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    def _lapse(self, purse: Purse) -> None:
        if purse.left and self._clock.monotonic() >= purse.valid_until:
            purse.unused += purse.left
            purse.left = 0

    async def _keep(self, purse: Purse) -> None:
        """Keeps leave at hand for as long as requests want the version."""
        while self._is_wanted(purse):
            purse.wake.clear()
            self._lapse(purse)
            if not purse.left:
                pause = await self._fetch(purse)
                await self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            if purse.left or not purse.demand:
                await self._until_needed(purse)
        self._purses.pop(purse.key, None)

    def _is_wanted(self, purse: Purse) -> bool:
        idle = self._clock.monotonic() - purse.wanted_at
        return idle < _INTEREST_LASTS

    async def _until_needed(self, purse: Purse) -> None:
        """Waits until leave is short, has lapsed, or nobody wants it."""
        lasts = _INTEREST_LASTS
        if purse.left:
            lasts = purse.valid_until - self._clock.monotonic()
        try:
            await self._clock.wait_for(purse.wake.wait(), lasts)
        except TimeoutError:
            return

    async def _fetch(self, purse: Purse) -> datetime.timedelta:
        """Asks for leave; returns how long to wait before the next ask."""
        unused, purse.unused = purse.unused, 0
        wanted = min(_LARGEST_ASK, max(1, purse.demand))
        # Counted from before the question, so that the leave never lasts
        # longer here than its granter believes.
        asked_at = self._clock.monotonic()
        take = ttypes.ExposureTake(
            team=purse.key.team,
            template_name=purse.key.template,
            model_version=str(purse.key.model_version),
            answers=wanted + purse.debt,
            unused=unused,
            rollout_id=purse.rollout_id,
        )
        grant = await self._ask(take)
        if grant is None:
            purse.unused += take.unused
            return _PAUSE_WITHOUT_HOLDER
        valid = datetime.timedelta(milliseconds=grant.valid_ms)
        if not grant.answers:
            return valid
        self._receive(purse, grant, asked_at + valid)
        return _NO_TIME

    def _receive(
        self,
        purse: Purse,
        grant: ttypes.ExposureGrant,
        valid_until: datetime.timedelta,
    ) -> None:
        if grant.rollout_id != purse.rollout_id:
            # Leave and debt of an earlier roll-out mean nothing in this one.
            purse.rollout_id = grant.rollout_id
            purse.left = purse.debt = purse.unused = 0
        purse.valid_until = valid_until
        purse.demand = 0
        paid = min(purse.debt, grant.answers)
        purse.debt -= paid
        purse.left += grant.answers - paid

    async def _ask(
        self, take: ttypes.ExposureTake
    ) -> ttypes.ExposureGrant | None:
        """Asks the lease's likely holders in turn.

        A question without a reply may have been granted. That leave is lost:
        asking for it again could send more answers than were counted.
        """
        for member in preference.candidates(LEASE_NAME, self._members):
            try:
                return await self._caller.call(
                    member.inner_address, take, timeout=_ASK_TIMEOUT
                )
            except peers.PeerUnreachableError:
                take.unused = 0
            except peers.PeerRefusedError:
                continue
        return None
