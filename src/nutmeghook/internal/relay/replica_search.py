"""Finds the replica for a request's next attempt."""

from collections.abc import Callable
from collections.abc import Iterator

from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import home_regions as home_regions_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.version_plans import view as view_module


class ReplicaSearch:
    """Passes a request's criteria to the replica chooser."""

    __slots__ = ("_chooser", "_homes", "_times", "_versions")

    def __init__(
        self,
        *,
        chooser: choice_module.ReplicaChooser,
        versions: view_module.VersionView,
        times: generation_times.GenerationTimes,
        homes: home_regions_module.HomeRegions,
    ):
        self._chooser = chooser
        self._homes = homes
        self._versions = versions
        self._times = times

    def best(
        self, job: job_module.Job, service: str, *, may_have_run: bool
    ) -> choice_module.Choice | None:
        """Returns the best replica of a service for the next attempt.

        A repeatable request that may have run goes to a replica that was tried,
        if there is no other.
        """
        chosen = self.untried(job, service)
        if chosen is None and may_have_run and job.route.repeatable:
            return self._best(job, service, tried=frozenset())
        return chosen

    def untried(
        self, job: job_module.Job, service: str
    ) -> choice_module.Choice | None:
        """Returns the best replica of a service that was not tried.

        A request that failed on a new version may be retried on a stable one,
        if no other replica has the new one.
        """
        tried = frozenset(job.tried)
        chosen = self._best(job, service, tried=tried)
        if chosen is None and tried:
            criteria = self._criteria(
                job,
                service,
                accepts=self._versions.accepts_stable(service),
                tried=tried,
            )
            chosen = self._chooser.choose(criteria)
        return chosen

    def open_replicas(
        self, job: job_module.Job, service: str
    ) -> Iterator[replica_module.Replica]:
        """Yields all replicas that a request may be sent to now."""
        return self._chooser.open_replicas(
            self._criteria(
                job,
                service,
                accepts=self._accepts(job, service),
                tried=frozenset(),
            )
        )

    def fallback(
        self, job: job_module.Job, to: job_module.FallbackReplica
    ) -> choice_module.Choice | None:
        """Returns the fallback replica if it may still be sent to.

        Its version may have been withdrawn since the replica was abandoned.
        """
        accepts = self._accepts(job, to.service)
        accepts_stable = self._versions.accepts_stable(to.service)

        def is_allowed(entry: entries.ReplicaEntry) -> bool:
            return entry.replica_id == to.replica_id and (
                accepts(entry) or accepts_stable(entry)
            )

        criteria = self._criteria(
            job,
            to.service,
            accepts=is_allowed,
            tried=frozenset(),
            model_index=to.model_index,
        )
        return self._chooser.choose(criteria)

    def for_model(
        self,
        job: job_module.Job,
        service: str,
        model_index: int,
        *,
        confirms: bool = True,
    ) -> choice_module.Choice | None:
        """Returns the best replica for a model's answer.

        Replicas that were tried with a smaller model are not excluded.

        Args:
            job: The request.
            service: Whose replicas may be chosen.
            model_index: Into its route's models.
            confirms: A replica whose limit is to be confirmed comes first.
        """
        return self._best(
            job,
            service,
            tried=frozenset(),
            model_index=model_index,
            confirms=confirms,
        )

    def _accepts(
        self, job: job_module.Job, service: str
    ) -> Callable[[entries.ReplicaEntry], bool]:
        """Returns a predicate for replicas whose version may run a request."""
        return self._versions.accepts(
            service,
            session=job.incoming.facts.session,
            request_id=job.log_id,
        )

    def _best(
        self,
        job: job_module.Job,
        service: str,
        *,
        tried: frozenset[str],
        model_index: int | None = None,
        confirms: bool = True,
    ) -> choice_module.Choice | None:
        criteria = self._criteria(
            job,
            service,
            accepts=self._accepts(job, service),
            tried=tried,
            model_index=model_index,
            confirms=confirms,
        )
        return self._chooser.choose(criteria)

    def _criteria(
        self,
        job: job_module.Job,
        service: str,
        *,
        accepts: Callable[[entries.ReplicaEntry], bool],
        tried: frozenset[str],
        model_index: int | None = None,
        confirms: bool = True,
    ) -> choice_module.ReplicaCriteria:
        return choice_module.ReplicaCriteria(
            service=service,
            accepts=self._homes.restrict(job, accepts),
            key=attempt_facts.affinity(job, model_index) or job.log_id,
            exclude=tried,
            prompt=self._prompt(job, model_index),
            confirms=confirms,
        )

    def _prompt(
        self, job: job_module.Job, model_index: int | None
    ) -> replica_forecast.Prompt | None:
        """Returns the prompt that an engine has to prefill."""
        model_name = attempt_facts.model_name(job, model_index)
        if job.incoming.facts.prompt is None and model_name is None:
            return None
        model_name = model_name or ""
        shared_tokens = attempt_facts.shared_tokens(job)
        own_tokens = job.input_tokens - shared_tokens
        return replica_forecast.Prompt(
            prefix=self._times.prefill_time(model_name, shared_tokens),
            suffix=self._times.prefill_time(model_name, own_tokens),
            urgent=attempt_facts.is_urgent(job, model_index),
            target=job.route.target,
            delay_per_running=self._times.delay_per_running(model_name),
            generation=self._times.generation_time(
                model_name, job.output_tokens, running=0.0
            ),
            generation_per_running=self._times.generation_per_running(
                model_name, job.output_tokens
            ),
        )

    def forecast(
        self, job: job_module.Job, model_index: int
    ) -> replica_forecast.Forecast | None:
        """Returns the forecast for another model's answer, if sent now."""
        criteria = self._criteria(
            job,
            job.service,
            accepts=self._accepts(job, job.service),
            tried=frozenset(),
            model_index=model_index,
        )
        return self._chooser.forecast(criteria) if criteria.prompt else None
