"""Records what attempts' answers show of replicas, versions and speeds."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import model
from nutmeghook.internal.version_plans import baseline as baseline_module
from nutmeghook.internal.version_plans import view as view_module

_MILLISECOND = datetime.timedelta(milliseconds=1)


class AnswerObserver:
    """Records answers of replicas as they begin and end."""

    __slots__ = (
        "_chooser",
        "_clock",
        "_metrics",
        "_speeds",
        "_times",
        "_versions",
    )

    def __init__(
        self,
        *,
        chooser: choice_module.ReplicaChooser,
        versions: view_module.VersionView,
        times: generation_times.GenerationTimes,
        speeds: speed_registry.SpeedRegistry,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._metrics = metrics
        self._chooser = chooser
        self._versions = versions
        self._times = times
        self._speeds = speeds
        self._clock = clock

    def note_first_event(
        self, job: job_module.Job, prepared: prepared_module.PreparedAttempt
    ) -> None:
        """Records that an attempt's answer begins now."""
        if prepared.forecast is None:
            return
        took = self._clock.monotonic() - prepared.sent_at
        waiting = prepared.forecast.waiting
        tokens = attempt_facts.uncached_tokens(job, prepared.forecast.cached)
        forecast = prepared.forecast
        expected = self._times.time_to_first_event(
            prepared.model,
            waiting=waiting,
            tokens=tokens,
            running=forecast.running,
        )
        self._note_first_pace(prepared, took, expected)
        self._times.note_first_event(
            prepared.model,
            waiting=waiting,
            tokens=tokens,
            took=took / forecast.slowness,
            running=forecast.running,
        )
        key = attempt_facts.affinity(job)
        if key is not None:
            self._chooser.note_prefilled(prepared.forecast, key)

    def note_answer(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        status: int,
        failed: bool,
    ) -> None:
        """Records that a replica began to answer, or failed."""
        now = self._clock.monotonic()
        report = prepared.replica.report
        logs.note(
            "attempt:answered",
            request=job.log_id,
            attempt=job.tries,
            replica=prepared.replica.entry.replica_id,
            version=prepared.replica.entry.version,
            status=status,
            after_ms=round((now - prepared.sent_at) / _MILLISECOND),
            replica_running=report.running if report else None,
            replica_waiting=report.waiting if report else None,
        )
        if failed:
            prepared.replica.health.note_failure(now)
        self._versions.note_answer(
            prepared.replica.entry,
            baseline_module.ObservedAnswer(
                route=prepared.route.name,
                model=prepared.model,
                failed=failed,
                duration_s=(now - prepared.sent_at).total_seconds(),
                target_s=prepared.route.target.total_seconds(),
            ),
        )

    def note_abandoned(
        self,
        job: job_module.Job,
        prepared: prepared_module.PreparedAttempt,
        *,
        is_unreachable: bool,
        silence: datetime.timedelta,
    ) -> None:
        """Records that a silent replica is abandoned for another one.

        Args:
            job: The request.
            prepared: The attempt that is abandoned.
            is_unreachable: Attempts to connect go unanswered; otherwise the
                replica is only silent.
            silence: The time-out for silence that applied.
        """
        logs.note(
            "attempt:left",
            request=job.log_id,
            attempt=job.tries,
            replica=prepared.replica.entry.replica_id,
            dark=is_unreachable,
            begun=job.sink.begun,
            after_event=job.last_event_id,
            silence_ms=round(silence / _MILLISECOND),
        )
        self._metrics.add(
            "attempts_left_total",
            replica="dark" if is_unreachable else "silent",
        )

    def _note_first_pace(
        self,
        prepared: prepared_module.PreparedAttempt,
        took: datetime.timedelta,
        expected: datetime.timedelta,
    ) -> None:
        """Records the ratio of actual to expected time to first event.

        Prompts and queues differ by more than a slow version's delay, so the
        time alone says little. All models count as one kind, since an instance
        of a small fleet sees few first events.
        """
        self._versions.note_pace(
            prepared.replica.entry,
            measure=baseline_module.LatencyMeasure.FIRST_EVENT,
            kind=prepared.replica.entry.service,
            pace_s=took / max(expected, _MILLISECOND),
        )
        self._note_speed(
            prepared,
            took / max(expected, _MILLISECOND),
            measure=baseline_module.LatencyMeasure.FIRST_EVENT,
        )

    def note_pace(
        self,
        prepared: prepared_module.PreparedAttempt,
        duration: datetime.timedelta,
        *,
        steps: int,
        shows_speed: bool = True,
    ) -> None:
        """Records how long an answer took, as a time per step.

        A step is an interval between two events, or a whole answer.

        A replica generates for all its streams in one batch, so events have the
        same interval on every route; whole answers differ by route.

        Args:
            prepared: The attempt that was answered.
            duration: The time that the steps took together.
            steps: Their number.
            shows_speed: The replica did what was asked. Refusing a request
                takes a fraction of the time.
        """
        if steps < 1:
            return
        is_stream = prepared.route.kind is model.RouteKind.STREAM
        self._versions.note_pace(
            prepared.replica.entry,
            measure=baseline_module.LatencyMeasure.EVENT_INTERVAL,
            kind=prepared.replica.entry.service
            if is_stream
            else prepared.route.name,
            pace_s=duration.total_seconds() / steps,
        )
        expected_ms = self._expected_token_ms(prepared)
        if shows_speed and expected_ms > 0:
            self._note_speed(
                prepared,
                duration / _MILLISECOND / steps / expected_ms,
                measure=baseline_module.LatencyMeasure.EVENT_INTERVAL,
            )

    def _expected_token_ms(
        self, prepared: prepared_module.PreparedAttempt
    ) -> float:
        """Returns the time per token at an average replica of the same load.

        It is 0 while nothing is known, and 1 for answers without tokens, whose
        times are only compared with each other.
        """
        forecast = prepared.forecast
        if forecast is None:
            return 1.0
        token_time = self._times.generation_time(
            prepared.model, 1, running=forecast.running
        )
        return token_time / _MILLISECOND

    def _note_speed(
        self,
        prepared: prepared_module.PreparedAttempt,
        pace: float,
        *,
        measure: baseline_module.LatencyMeasure,
    ) -> None:
        """Records an answer's time over what is expected at any replica.

        The registry compares it with the mean of the replica's service,
        version and model or route, so a time without an expectation counts too.
        """
        is_stream = prepared.route.kind is model.RouteKind.STREAM
        self._speeds.note_pace(
            prepared.replica,
            pace,
            measure.name,
            prepared.model if is_stream else prepared.route.name,
        )
