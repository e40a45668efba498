"""Forecasts when replicas begin their answers, and what a request loses."""

import datetime
import math

import msgspec

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.replicas import cached_prefixes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import running_requests

# Time constant with which a replica's load report decays to the baseline load
# of its service. Were an old report dropped, only this instance's own attempts
# would count, a small part of the replica's load.
REPORT_TIME_CONSTANT = datetime.timedelta(milliseconds=500)
# Number of running requests that one waiting request counts as.
WAITING_WEIGHT = 5.0
# Assumed probability that the owner of a key has its prompt prefix cached.
OWNER_CACHE_PROBABILITY = 0.5
# Share of the normal backlog that an urgent prompt waits for. It goes first,
# but engines process prompts in chunks and take turns between them.
NORMAL_WAIT_SHARE = 0.5
# Share of a prompt's prefill time added for each request that runs at the
# replica, because the engine generates no tokens for them during prefill.
BLOCKING_SHARE = 0.3
# By how much sooner a replica in another data centre has to answer, for the
# cost of traffic between data centres.
REMOTE_DELAY = datetime.timedelta(milliseconds=100)

_ZERO = datetime.timedelta()


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """The prompt of a request, as prefill time.

    Attributes:
        prefix: Prefill time of the prefix shared with other requests, if it is
            not cached.
        suffix: Prefill time of the rest.
        urgent: Engines process it before prompts that are not urgent.
        target: An answer within this time has its full utility.
        delay_per_running: By how much each request that runs at a replica
            delays the first event.
        generation: From the first event to the end at an idle replica.
        generation_per_running: By how much each request that runs there
            delays the end.
    """

    prefix: datetime.timedelta
    suffix: datetime.timedelta
    urgent: bool
    target: datetime.timedelta
    delay_per_running: datetime.timedelta = _ZERO
    generation: datetime.timedelta = _ZERO
    generation_per_running: datetime.timedelta = _ZERO


class Forecast(msgspec.Struct, frozen=True, kw_only=True):
    """When a replica is expected to begin its answer.

    Attributes:
        waiting: Time spent on the backlog before the prompt.
        prefill: Prefill time of the prompt, less the expected cached part.
        cached: Probability that the prompt prefix is cached.
        running: Expected number of requests that run at the replica; 0 where
            the service is not uneven.
        slowness: Factor by which its work takes longer than an average
            replica's; 1 where the service is not uneven.
    """

    replica: replica_module.Replica
    waiting: datetime.timedelta
    prefill: datetime.timedelta
    cached: float
    running: float = 0.0
    slowness: float = 1.0


class ReplicaForecaster:
    """Forecasts by backlogs, cached prefixes, load and speed."""

    __slots__ = ("_cached_prefixes", "_clock", "_data_centre", "_directory")

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        data_centre: str,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._data_centre = data_centre
        self._clock = clock
        self._cached_prefixes = cached_prefixes.CachedPrefixes()

    def note_prefilled(self, forecast: Forecast, key: str) -> None:
        """Records that a replica has processed a key's prompt prefix."""
        self._cached_prefixes.note(forecast.replica.short_id, key)

    def forecast(
        self,
        prompt: Prompt,
        replica: replica_module.Replica,
        *,
        key: str,
        is_owner: bool,
    ) -> Forecast:
        """Returns when a replica would begin its answer, if sent now.

        Args:
            prompt: The prompt.
            replica: The replica.
            key: Affinity key of the prompt.
            is_owner: The replica is the first owner of the key.
        """
        cached = OWNER_CACHE_PROBABILITY if is_owner else 0.0
        if self._cached_prefixes.holds(replica.short_id, key):
            cached = 1.0
        backlog = self._directory.backlog(replica)
        share = NORMAL_WAIT_SHARE if prompt.urgent else 1.0
        running, slowness = self._condition(replica)
        return Forecast(
            replica=replica,
            waiting=backlog.urgent + share * backlog.normal,
            prefill=prompt.suffix + (1.0 - cached) * prompt.prefix,
            cached=cached,
            running=running,
            slowness=slowness,
        )

    def _condition(
        self, replica: replica_module.Replica
    ) -> tuple[float, float]:
        """Returns the requests at a replica and its slowness, if uneven."""
        service = replica.entry.service
        if not self._directory.is_uneven(service):
            return 0.0, 1.0
        now = self._clock.monotonic()
        running = running_requests.expected_running(
            replica, baseline=self._directory.baseline_load(service), now=now
        )
        return running, replica.speed.slowness(now)

    def cost(self, prompt: Prompt, forecast: Forecast) -> datetime.timedelta:
        """Returns the expected time plus penalties.

        That is the time to the first token, and in an uneven service the time
        to the end: a loaded or slow replica is late with every event.
        """
        now = self._clock.monotonic()
        replica = forecast.replica
        delay = forecast.waiting + forecast.prefill
        delay += forecast.running * prompt.delay_per_running
        delay += prompt.generation
        delay += forecast.running * prompt.generation_per_running
        delay += self._blocking_cost(forecast, now)
        delay *= forecast.slowness
        delay += prompt.target * replica.health.failure_rate(now)
        if replica.entry.data_centre != self._data_centre:
            delay += REMOTE_DELAY
        return delay

    def _blocking_cost(
        self, forecast: Forecast, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns what a prefill costs the requests running at the replica."""
        replica = forecast.replica
        running = self.load_per_slot(replica, now) * replica.entry.slots
        return BLOCKING_SHARE * running * forecast.prefill

    def load_per_slot(
        self, replica: replica_module.Replica, now: datetime.timedelta
    ) -> float:
        """Returns the estimated load; 1 if all slots are taken."""
        estimate = float(replica.in_flight)
        report = replica.report
        if report is not None:
            weight = math.exp((report.at - now) / REPORT_TIME_CONSTANT)
            service = replica.entry.service
            baseline = self._directory.baseline_load(service)
            expected = weight * _weighted_load(report) + (
                1 - weight
            ) * _weighted_load(baseline)
            since = replica.in_flight - replica.in_flight_at_report
            if since < 0 and self._directory.is_uneven(service):
                # See `running_requests`.
                since *= weight
            estimate = max(estimate, expected + since)
        return estimate / replica.entry.slots


def _weighted_load(
    load: replica_module.LoadReport | replica_module.BaselineLoad,
) -> float:
    return load.running + WAITING_WEIGHT * load.waiting
