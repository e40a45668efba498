"""Shares of teams in the capacity of a service that is short of it.

While no place is free, more urgent requests come first, and teams share what
is left for one priority by max-min fairness with equal weights. The fleet's
capacity is not configured: it is what was admitted over the last seconds, less
the growth of the replicas' queues.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import math
import random

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.limits import demand_rates
from nutmeghook.internal.limits import fair_shares
from nutmeghook.internal.limits import occupancy as occupancy_module
from nutmeghook.internal.limits import retry_after_schedule
from nutmeghook.internal.limits import service_load

# How often a service's occupancy is measured and its shares are worked out,
# which takes half a millisecond with 24 teams. A report arrives as often.
_SAMPLE_PERIOD = datetime.timedelta(milliseconds=200)
# How long a shortage counts.
_SHORTAGE_LIFETIME = datetime.timedelta(seconds=2)
# Less urgent requests that are admitted do not protect the more urgent ones
# while they are fewer than this part of the capacity: some are admitted in
# each moment in which a place is free.
_TRICKLE_SHARE = 0.01
# Longest Retry-After, before the bound by the caller's time left.
_MAX_RETRY_DELAY = datetime.timedelta(seconds=10)
# A refused caller returns within this part of the time that it has left, so
# that a second refusal leaves time for a third request.
_MAX_DELAY_SHARE = 1 / 3


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request is refused, and when its caller may return.

    Attributes:
        share_per_s: Cost a second that its team gets at its priority.
        asked_per_s: Cost a second that its team asks for there.
        expected_wait: How long the replicas take to work off their queues.
    """

    share_per_s: float
    asked_per_s: float
    expected_wait: datetime.timedelta
    retry_after: datetime.timedelta


class _Share(msgspec.Struct, frozen=True, kw_only=True):
    asked: float
    share: float
    less_urgent: float


class _ServiceShares(msgspec.Struct, frozen=True, kw_only=True):
    """The shares in one service at a moment.

    Attributes:
        scale: Instances of the fleet for each one heard.
        wait: How long the replicas take to work off their queues.
    """

    at: datetime.timedelta
    capacity: float
    by_key: dict[demand_rates.DemandKey, _Share]
    scale: float
    wait: datetime.timedelta


class _ServiceState:
    """What is known of one service.

    Attributes:
        load: What its replicas have to do.
        short_at: When it was last short of capacity; None if never.
        shares: The shares last worked out; None if none were.
    """

    __slots__ = ("load", "shares", "short_at")

    def __init__(self):
        self.load = service_load.ServiceLoad()
        self.short_at: datetime.timedelta | None = None
        self.shares: _ServiceShares | None = None


class TeamShares:
    """Decides which requests are refused while no place is free.

    Attributes:
        fleet_size: Returns the number of instances, this one included.
        rates: What teams ask for and get.
    """

    __slots__ = (
        "_clock",
        "_random",
        "_schedule",
        "_services",
        "fleet_size",
        "rates",
    )

    def __init__(
        self, *, clock: clock_module.Clock, random_source: random.Random
    ):
        self._clock = clock
        self._random = random_source
        self._schedule = retry_after_schedule.RetryAfterSchedule(
            clock=clock,
            randomness=random_source,
            max_delay=_MAX_RETRY_DELAY,
        )
        self._services: dict[str, _ServiceState] = collections.defaultdict(
            _ServiceState
        )
        self.fleet_size: Callable[[], int] = lambda: 1
        self.rates = demand_rates.DemandRates(clock=clock)

    def configure(self, keys: Iterable[demand_rates.DemandKey]) -> None:
        """Sets the keys that there are; the state of others is dropped."""
        known = set(keys)
        self.rates.configure(known)
        self._schedule.keep({key.text for key in known})
        services = {key.service for key in known}
        for service in self._services.keys() - services:
            del self._services[service]

    def note_asked(self, key: demand_rates.DemandKey, cost: float) -> None:
        """Counts a request that has arrived."""
        load = self._services[key.service].load
        self.rates.note_asked(key, load.bounded_cost(cost))
        load.note_cost(cost)

    def note_admitted(self, key: demand_rates.DemandKey, cost: float) -> None:
        """Counts a request that is sent to a replica."""
        load = self._services[key.service].load
        self.rates.note_admitted(key, load.bounded_cost(cost))

    def needs_sample(self, service: str) -> bool:
        """Tells whether a service's occupancy is to be measured again."""
        sampled_at = self._services[service].load.sampled_at
        if sampled_at is None:
            return True
        return self._clock.monotonic() - sampled_at >= _SAMPLE_PERIOD

    def note_occupancy(
        self, service: str, occupancy: occupancy_module.Occupancy
    ) -> None:
        """Records the occupancy of all replicas of a service."""
        now = self._clock.monotonic()
        state = self._services[service]
        state.load.note_occupancy(occupancy, now)
        if occupancy.is_short:
            state.short_at = now

    def note_short(self, service: str) -> None:
        """Records that a request found no free place."""
        self._services[service].short_at = self._clock.monotonic()

    def is_any_short(self) -> bool:
        """Tells whether a service was short of capacity a moment ago."""
        oldest = self._clock.monotonic() - _SHORTAGE_LIFETIME
        return any(
            state.short_at is not None and state.short_at >= oldest
            for state in self._services.values()
        )

    def refusal(
        self,
        key: demand_rates.DemandKey,
        cost: float,
        *,
        time_left: datetime.timedelta,
    ) -> Refusal | None:
        """Returns why a request that found no free place is refused, if it is.

        Args:
            key: Its service, priority and team; counted as asked before.
            cost: Its cost.
            time_left: Time until its deadline.
        """
        shares = self._shares(key)
        part = self._admitted_part(key, shares)
        if part >= 1 or self._random.random() < part:
            return None
        own = shares.by_key[key]
        return Refusal(
            share_per_s=own.share,
            asked_per_s=own.asked,
            expected_wait=shares.wait,
            retry_after=self._retry_after(
                key, cost, own.share, shares.wait, time_left
            ),
        )

    def admitted_part(self, key: demand_rates.DemandKey) -> float:
        """Returns the part of a team's requests admitted without free places.

        It is 1 for a team that asks for no more than its share, while a less
        urgent request is admitted, and as long as too little is known.
        """
        return self._admitted_part(key, self._shares(key))

    def _admitted_part(
        self, key: demand_rates.DemandKey, shares: _ServiceShares | None
    ) -> float:
        own = shares.by_key.get(key) if shares else None
        if own is None or not self._is_above(own, shares, key.service):
            return 1.0
        if own.less_urgent > _TRICKLE_SHARE * shares.capacity:
            return 1.0
        return own.share / own.asked

    def _is_above(
        self, own: _Share, shares: _ServiceShares, service: str
    ) -> bool:
        """Tells whether a team asks for more than its share, beyond doubt.

        The rates come from some of the instances and from a few requests of
        small teams. A rate within a standard deviation of the share may be
        below it. What more urgent requests leave nothing for is refused.
        """
        if own.share <= 0:
            return own.asked > 0
        quantum = self._services[service].load.mean_cost * shares.scale
        variance = own.asked * quantum / demand_rates.WINDOW.total_seconds()
        return own.asked - math.sqrt(variance) > own.share

    def _retry_after(
        self,
        key: demand_rates.DemandKey,
        cost: float,
        share: float,
        wait: datetime.timedelta,
        time_left: datetime.timedelta,
    ) -> datetime.timedelta:
        longest = max(time_left, datetime.timedelta()) * _MAX_DELAY_SHARE
        # A team that gets nothing has no rate to spread its callers by.
        least = cost / _MAX_RETRY_DELAY.total_seconds()
        delay = self._schedule.next_retry_after(
            team=key.text,
            cost_tokens=math.ceil(cost),
            tokens_per_s=max(share / max(1, self.fleet_size()), least),
            earliest=wait,
        )
        if delay <= longest:
            return delay
        return longest * self._random.uniform(0.5, 1.0)

    def _shares(self, key: demand_rates.DemandKey) -> _ServiceShares | None:
        """Returns the shares in a key's service; None if nothing is known."""
        state = self._services[key.service]
        now = self._clock.monotonic()
        known = state.shares
        if (
            known is None
            or now - known.at >= _SAMPLE_PERIOD
            or key not in known.by_key
        ):
            state.shares = self._work_out(key.service, state)
        return state.shares

    def _work_out(
        self, service: str, state: _ServiceState
    ) -> _ServiceShares | None:
        if not state.load.is_known:
            return None
        fleet = self.rates.fleet(self.fleet_size())
        rates = {
            key: found
            for key, found in fleet.by_key.items()
            if key.service == service
        }
        admitted = sum(found.admitted for found in rates.values())
        if admitted <= 0:
            return None
        seen = state.load.seen_part(self.fleet_size())
        capacity = state.load.capacity(admitted, seen)
        shares = fair_shares.allocate(
            {key: found.asked for key, found in rates.items()}, capacity
        )
        # Admitted cost of less urgent requests, by priority.
        less_urgent: dict[int, float] = {}
        below = 0.0
        for priority in sorted({key.priority for key in rates}, reverse=True):
            less_urgent[priority] = below
            below += sum(
                found.admitted
                for key, found in rates.items()
                if key.priority == priority
            )
        return _ServiceShares(
            at=self._clock.monotonic(),
            capacity=capacity,
            by_key={
                key: _Share(
                    asked=found.asked,
                    share=shares[key],
                    less_urgent=less_urgent[key.priority],
                )
                for key, found in rates.items()
            },
            scale=fleet.scale,
            wait=state.load.wait(capacity, seen),
        )
