"""An instance's exposure allowance, fetched from the lease holder."""

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
_REQUEST_TIMEOUT = datetime.timedelta(milliseconds=500)
_PAUSE_WITHOUT_HOLDER = datetime.timedelta(seconds=1)
# Allowance of a version is fetched in advance until this long after its last
# request.
_IDLE_TIMEOUT = datetime.timedelta(minutes=10)
_MAX_REQUESTED = 16
_NO_TIME = datetime.timedelta()


@dataclasses.dataclass(slots=True, kw_only=True)
class ExposureAllowance:
    """Allowance of one version on this instance.

    Attributes:
        available: Answers that may be sent; more than 0 only without debt.
        debt: Answers sent without allowance, to be paid from later grants.
        unused: Answers of expired grants that were not sent, to be returned.
        demand: Answers wanted since the last grant; sizes the next request.
        valid_until: Monotonic time at which `available` expires.
        last_used_at: Monotonic time of the last request for the version.
        wake: Set when there is reason to request a grant.
    """

    key: pool_module.VersionKey
    last_used_at: datetime.timedelta
    available: int = 0
    debt: int = 0
    unused: int = 0
    demand: int = 0
    valid_until: datetime.timedelta = _NO_TIME
    rollout_id: int = 0
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class GrantedExposureGate(exposure.ExposureGate):
    """Takes from allowance that the lease holder granted earlier.

    Without a reachable holder the allowance runs out, and new sessions get the
    serving version: the roll-out pauses, no caller waits, and every answer is
    counted.
    """

    __slots__ = (
        "_allowances",
        "_caller",
        "_clock",
        "_members",
        "_random",
        "_tasks",
    )

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
        self._allowances: dict[pool_module.VersionKey, ExposureAllowance] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def try_take(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> bool:
        """Takes allowance for one answer, if there is any."""
        allowance = self._allowance(template, model_version)
        self._expire(allowance)
        allowance.demand += 1
        granted = allowance.available > 0
        if granted:
            allowance.available -= 1
        if not allowance.available:
            allowance.wake.set()
        return granted

    def take_regardless(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Counts an answer that is sent with or without allowance."""
        allowance = self._allowance(template, model_version)
        self._expire(allowance)
        allowance.demand += 1
        if allowance.available > 0:
            allowance.available -= 1
        else:
            allowance.debt += 1
            allowance.wake.set()

    def release(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Releases the allowance of an answer that will not be sent."""
        allowance = self._allowance(template, model_version)
        allowance.demand = max(0, allowance.demand - 1)
        if allowance.debt > 0:
            allowance.debt -= 1
        elif self._clock.monotonic() < allowance.valid_until:
            allowance.available += 1
        else:
            allowance.unused += 1

    async def close(self) -> None:
        """Stops fetching; unused allowance is lost and counts as sent."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _allowance(
        self,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> ExposureAllowance:
        key = pool_module.VersionKey(
            team=template.team,
            template=template.name,
            model_version=model_version,
        )
        now = self._clock.monotonic()
        allowance = self._allowances.get(key)
        if allowance is None:
            allowance = ExposureAllowance(key=key, last_used_at=now)
            self._allowances[key] = allowance
            self._start(allowance)
        allowance.last_used_at = now
        return allowance

    def _start(self, allowance: ExposureAllowance) -> None:
        task = asyncio.get_running_loop().create_task(self._maintain(allowance))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _expire(self, allowance: ExposureAllowance) -> None:
        if (
            allowance.available
            and self._clock.monotonic() >= allowance.valid_until
        ):
            allowance.unused += allowance.available
            allowance.available = 0

    async def _maintain(self, allowance: ExposureAllowance) -> None:
        """Fetches allowance while there are requests for the version."""
        while self._is_in_use(allowance):
            allowance.wake.clear()
            self._expire(allowance)
            if not allowance.available:
                pause = await self._fetch(allowance)
                await self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            if allowance.available or not allowance.demand:
                await self._wait_until_needed(allowance)
        self._allowances.pop(allowance.key, None)

    def _is_in_use(self, allowance: ExposureAllowance) -> bool:
        idle = self._clock.monotonic() - allowance.last_used_at
        return idle < _IDLE_TIMEOUT

    async def _wait_until_needed(self, allowance: ExposureAllowance) -> None:
        """Waits until the allowance is used up, expired or idle."""
        timeout = _IDLE_TIMEOUT
        if allowance.available:
            timeout = allowance.valid_until - self._clock.monotonic()
        try:
            await self._clock.wait_for(allowance.wake.wait(), timeout)
        except TimeoutError:
            return

    async def _fetch(self, allowance: ExposureAllowance) -> datetime.timedelta:
        """Requests a grant; returns the pause before the next request."""
        unused, allowance.unused = allowance.unused, 0
        wanted = min(_MAX_REQUESTED, max(1, allowance.demand))
        # Validity counts from before the request, so that the grant never lasts
        # longer here than at the lease holder.
        requested_at = self._clock.monotonic()
        take = ttypes.ExposureTake(
            team=allowance.key.team,
            template_name=allowance.key.template,
            model_version=str(allowance.key.model_version),
            answers=wanted + allowance.debt,
            unused=unused,
            rollout_id=allowance.rollout_id,
        )
        grant = await self._request_grant(take)
        if grant is None:
            allowance.unused += take.unused
            return _PAUSE_WITHOUT_HOLDER
        valid = datetime.timedelta(milliseconds=grant.valid_ms)
        if not grant.answers:
            return valid
        self._receive(allowance, grant, requested_at + valid)
        return _NO_TIME

    def _receive(
        self,
        allowance: ExposureAllowance,
        grant: ttypes.ExposureGrant,
        valid_until: datetime.timedelta,
    ) -> None:
        if grant.rollout_id != allowance.rollout_id:
            # Allowance and debt of an earlier roll-out don't apply to this one.
            allowance.rollout_id = grant.rollout_id
            allowance.available = allowance.debt = allowance.unused = 0
        allowance.valid_until = valid_until
        allowance.demand = 0
        paid = min(allowance.debt, grant.answers)
        allowance.debt -= paid
        allowance.available += grant.answers - paid

    async def _request_grant(
        self, take: ttypes.ExposureTake
    ) -> ttypes.ExposureGrant | None:
        """Sends the request to the lease's likely holders in turn.

        A request without a reply may have been granted. That grant is lost, and
        so is the returned `unused`: using either twice could send more answers
        than were counted.
        """
        for member in preference.candidates(LEASE_NAME, self._members):
            try:
                return await self._caller.call(
                    member.inner_address, take, timeout=_REQUEST_TIMEOUT
                )
            except peers.PeerUnreachableError:
                take.unused = 0
            except peers.PeerRefusedError:
                continue
        return None
