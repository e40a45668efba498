"""What attempts' answers tell: of replicas, of versions, of engines' paces."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.version_plans import usual as usual_module
from nutmeghook.internal.version_plans import view as view_module

_MILLISECOND = datetime.timedelta(milliseconds=1)


class AnswerObserver:
    """Takes in answers of replicas as they begin and end."""

    __slots__ = ("_chooser", "_clock", "_metrics", "_times", "_versions")

    def __init__(
        self,
        *,
        chooser: choice_module.ReplicaChooser,
        versions: view_module.VersionView,
        times: generation_times.GenerationTimes,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._metrics = metrics
        self._chooser = chooser
        self._versions = versions
        self._times = times
        self._clock = clock

    def note_first_event(
        self, job: job_module.Job, prepared: prepared_module.Prepared
    ) -> None:
        """Takes in that an attempt's answer begins now."""
        if prepared.forecast is None:
            return
        took = self._clock.monotonic() - prepared.sent_at
        waiting = prepared.forecast.waiting
        tokens = attempt_facts.unkept_tokens(job, prepared.forecast.cached)
        expected = self._times.first_event(
            prepared.model, waiting=waiting, tokens=tokens
        )
        self._note_first_pace(prepared, took, expected)
        self._times.note_first_event(
            prepared.model, waiting=waiting, tokens=tokens, took=took
        )
        key = attempt_facts.affinity(job)
        if key is not None:
            self._chooser.note_prefilled(prepared.forecast, key)

    def note_answer(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        *,
        status: int,
        failed: bool,
    ) -> None:
        """Takes in that a replica began to answer, or failed."""
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
            usual_module.AnswerSeen(
                route=prepared.route.name,
                model=prepared.model,
                failed=failed,
                duration_s=(now - prepared.sent_at).total_seconds(),
                target_s=prepared.route.target.total_seconds(),
            ),
        )

    def note_left(
        self,
        job: job_module.Job,
        prepared: prepared_module.Prepared,
        *,
        is_dark: bool,
    ) -> None:
        """Takes in that a silent replica is left for another one.

        Args:
            job: The request.
            prepared: The attempt that is given up.
            is_dark: Attempts to connect go unanswered; else it is only silent.
        """
        logs.note(
            "attempt:left",
            request=job.log_id,
            attempt=job.tries,
            replica=prepared.replica.entry.replica_id,
            dark=is_dark,
            begun=job.sink.begun,
            after_event=job.last_event_id,
        )
        self._metrics.add(
            "attempts_left_total", replica="dark" if is_dark else "silent"
        )

    def _note_first_pace(
        self,
        prepared: prepared_module.Prepared,
        took: datetime.timedelta,
        expected: datetime.timedelta,
    ) -> None:
        """Takes in how much later than expected an answer began.

        Prompts and queues differ by more than a slow version's delay, so a
        first event is measured by what was expected of it. All models count as
        one kind, since an instance of a small fleet sees few first events.
        """
        self._versions.note_pace(
            prepared.replica.entry,
            measure=usual_module.Measure.BEGINNING,
            kind=prepared.replica.entry.service,
            pace_s=took / max(expected, _MILLISECOND),
        )

    def note_pace(
        self,
        prepared: prepared_module.Prepared,
        duration: datetime.timedelta,
        *,
        steps: int,
    ) -> None:
        """Takes in how long an answer took, in so many equal steps.

        A replica generates for all its streams in one batch, so events come
        equally often on every route; whole answers differ by route.
        """
        if steps < 1:
            return
        is_stream = prepared.route.kind is model.RouteKind.STREAM
        self._versions.note_pace(
            prepared.replica.entry,
            measure=usual_module.Measure.GOING_ON,
            kind=prepared.replica.entry.service
            if is_stream
            else prepared.route.name,
            pace_s=duration.total_seconds() / steps,
        )
