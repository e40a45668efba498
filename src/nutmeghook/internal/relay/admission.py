"""Admits requests of uneven services, or refuses them for lack of capacity."""

import datetime
import itertools

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.limits import demand_rates
from nutmeghook.internal.limits import team_shares
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import replica_search
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import occupancy
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model

_MILLISECOND = datetime.timedelta(milliseconds=1)
# An engine reads prompt tokens at several times the pace at which it
# generates.
_PROMPT_TOKENS_PER_OUTPUT_TOKEN = 4


class ServiceOccupancy:
    """Measures the occupancy of uneven services for the shares of teams."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_directory",
        "_shares",
        "_version",
    )

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        directory: directory_module.ReplicaDirectory,
        shares: team_shares.TeamShares,
        clock: clock_module.Clock,
    ):
        self._configuration = configuration
        self._directory = directory
        self._shares = shares
        self._clock = clock
        # Version of the configuration that was last passed to the shares.
        self._version: int | None = None

    def configure(self) -> None:
        """Tells the shares the services, priorities and teams there are."""
        current = self._configuration.current
        if current is None or current.version == self._version:
            return
        self._version = current.version
        teams = {team.name: team for team in current.teams_by_key.values()}
        self._shares.configure(
            demand_rates.DemandKey(
                service=share.service,
                priority=_priority(route, team),
                team=team.name if team else "",
            )
            for route, team in itertools.product(
                current.routes(), [*teams.values(), None]
            )
            for share in route.shares
        )

    def observe_all(self) -> None:
        """Measures all configured services that are uneven."""
        self.configure()
        for service in self._shares.rates.services():
            if self._directory.is_uneven(service):
                self.observe(service)

    def observe(self, service: str) -> None:
        """Measures a service, unless that was done a moment ago."""
        if not self._shares.needs_sample(service):
            return
        staying = (
            replica
            for replica in self._directory.of_service(service)
            if not replica.is_leaving
        )
        self._shares.note_occupancy(
            service, occupancy.measure(staying, self._clock.monotonic())
        )


class TeamAdmission:
    """Asked once for each request, before it is sent to any replica."""

    __slots__ = (
        "_clock",
        "_directory",
        "_metrics",
        "_occupancy",
        "_search",
        "_shares",
    )

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        directory: directory_module.ReplicaDirectory,
        search: replica_search.ReplicaSearch,
        shares: team_shares.TeamShares,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._directory = directory
        self._search = search
        self._shares = shares
        self._metrics = metrics
        self._clock = clock
        self._occupancy = ServiceOccupancy(
            configuration=configuration,
            directory=directory,
            shares=shares,
            clock=clock,
        )

    def require_room(self, job: job_module.Job, service: str) -> None:
        """Counts a request, and checks that there is capacity for it.

        Raises:
            rejections.RejectedError: There is none for its team.
        """
        if not self._directory.is_uneven(service):
            return
        self._occupancy.configure()
        key = _key_of(job, service)
        cost = _cost_of(job)
        self._shares.note_asked(key, cost)
        self._occupancy.observe(service)
        refusal = None
        if self._is_short(job, service):
            self._shares.note_short(service)
            refusal = self._shares.refusal(
                key, cost, time_left=job.deadline - self._clock.monotonic()
            )
        if refusal is None:
            return
        self._note_refused(job, key, refusal)
        raise rejections.RejectedError(
            wire.FixedResponse.NOT_RUN,
            reason="no capacity for its team",
            retry_after=refusal.retry_after,
            code=codes.Code.NO_ROOM,
        )

    def note_sent(self, job: job_module.Job, service: str) -> None:
        """Counts a request that passed, when its replica is chosen."""
        if self._directory.is_uneven(service):
            self._shares.note_admitted(_key_of(job, service), _cost_of(job))

    def _is_short(self, job: job_module.Job, service: str) -> bool:
        """Tells whether no replica open to a request has a free place."""
        measured = occupancy.measure(
            self._search.open_replicas(job, service),
            self._clock.monotonic(),
            stops_at_free=True,
        )
        return measured.is_short

    def _note_refused(
        self,
        job: job_module.Job,
        key: demand_rates.DemandKey,
        refusal: team_shares.Refusal,
    ) -> None:
        logs.note(
            "request:no_room",
            request=job.log_id,
            team=key.team,
            service=key.service,
            priority=key.priority,
            share=round(refusal.share_per_s, 2),
            asked_per_s=round(refusal.asked_per_s, 2),
            expected_wait_ms=round(refusal.expected_wait / _MILLISECOND),
            retry_after_ms=round(refusal.retry_after / _MILLISECOND),
        )
        self._metrics.add("no_room_total", team=key.team)


def _key_of(job: job_module.Job, service: str) -> demand_rates.DemandKey:
    return demand_rates.DemandKey(
        service=service,
        priority=_priority(job.route, job.team),
        team=job.team.name if job.team else "",
    )


def _priority(route: model.Route, team: model.Team | None) -> int:
    if team is not None and team.priority is not None:
        return team.priority
    return route.priority


def _cost_of(job: job_module.Job) -> float:
    """Returns a generation's cost in generated tokens; 1 for other requests.

    Teams are compared within a service, so the two need no common unit.
    """
    if job.incoming.facts.prompt is None:
        return 1.0
    read = job.input_tokens / _PROMPT_TOKENS_PER_OUTPUT_TOKEN
    return max(1.0, read + job.output_tokens)
