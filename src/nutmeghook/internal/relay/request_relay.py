"""Relays requests: checks route and key, makes attempts, answers."""

import asyncio
import datetime
import traceback

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import unreadable_values
from nutmeghook.internal.relay import denials
from nutmeghook.internal.relay import endings
from nutmeghook.internal.relay import incoming as incoming_module
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import planned_stop
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import streams
from nutmeghook.internal.relay import whole_answers
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model

_RETRY_AFTER_FAULT = datetime.timedelta(milliseconds=500)


class RequestRelay:
    """Relays requests, each in its own task."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_metrics",
        "_stop",
        "_streams",
        "_unreadable",
        "_whole_answers",
        "_wire_format",
    )

    def __init__(
        self,
        *,
        configuration: in_force_module.ConfigurationInForce,
        stream_relay: streams.StreamRelay,
        whole_answer_relay: whole_answers.WholeAnswerRelay,
        stop: planned_stop.PlannedStop,
        unreadable: unreadable_values.UnreadableValues,
        wire_format: wire.WireFormat,
        metrics: metrics_module.Metrics,
        clock: clock_module.Clock,
    ):
        self._configuration = configuration
        self._streams = stream_relay
        self._whole_answers = whole_answer_relay
        self._stop = stop
        self._unreadable = unreadable
        self._wire_format = wire_format
        self._metrics = metrics
        self._clock = clock

    async def serve(
        self,
        incoming: incoming_module.Incoming,
        sink: incoming_module.AnswerSink,
    ) -> None:
        """Answers a request, whatever happens to it."""
        route_name = ""
        ending = endings.ANSWERED
        is_cut = False
        job: job_module.Job | None = None
        for ignored in incoming.facts.unreadable:
            self._unreadable.note(
                ignored.field, ignored.value, source="callers"
            )
        try:
            job = self._admit(incoming, sink)
            route_name = job.route.name
            await self._answer(job)
        except rejections.RejectedError as rejection:
            ending = endings.of_rejection(rejection)
            is_cut = await self._reject(sink, rejection, route_name)
        except asyncio.CancelledError:
            if not self._stop.has_ended:
                ending = endings.CALLER_LEFT
                raise
            # By the stop, and the caller still gets a final status.
            asyncio.current_task().uncancel()
            rejection = _stopped()
            ending = endings.of_rejection(rejection)
            is_cut = await self._reject(sink, rejection, route_name)
        except ConnectionError as error:
            ending = endings.of_broken_connection(error)
            raise
        except Exception as error:
            # An internal error; the caller still gets an answer at once.
            ending = endings.of_fault(error)
            logs.note(
                "request:fault",
                request=incoming.facts.request_id,
                trace=traceback.format_exc(),
            )
            is_cut = await self._reject(sink, _fault(job), route_name)
        finally:
            if incoming.held.is_cut:
                ending = endings.CALLER_NOT_READING
                is_cut = self._note_cut(sink, route_name, ending.reason)
            self._note_end(incoming, job, route_name, ending, is_cut=is_cut)

    async def _answer(self, job: job_module.Job) -> None:
        is_stream = job.route.kind is model.RouteKind.STREAM
        try:
            await (self._streams if is_stream else self._whole_answers).run(job)
        except rejections.RejectedError:
            if job.failure is None or job.sink.begun:
                raise
            # A replica's own failure says more than the relay's rejection.
            await job.sink.send_whole(
                job.failure.status,
                self._wire_format.answer_headers(job.failure.headers),
                job.failure.body,
            )

    def _admit(
        self,
        incoming: incoming_module.Incoming,
        sink: incoming_module.AnswerSink,
    ) -> job_module.Job:
        denials.require_current(self._configuration)
        configuration = self._configuration.current
        route = configuration.find(incoming.host_name, incoming.path)
        if route is None:
            raise self._denial(wire.FixedResponse.NO_ROUTE, "no route matches")
        api_key = incoming.facts.api_key
        if not configuration.admits_key(route, api_key):
            raise self._denial(wire.FixedResponse.BAD_KEY, "the key is unknown")
        team = _team(configuration, route, api_key)
        limit = route.time_limit
        if incoming.facts.time_left is not None:
            limit = min(limit, incoming.facts.time_left)
        incoming.held.deadline = incoming.arrived_at + limit
        return job_module.Job(
            incoming=incoming,
            sink=sink,
            route=route,
            team=team,
            deadline=incoming.arrived_at + limit,
            admission=self._configuration.admission(),
        )

    def _denial(
        self, response: wire.FixedResponse, reason: str
    ) -> rejections.RejectedError:
        return denials.denial(self._configuration, response, reason=reason)

    async def _reject(
        self,
        sink: incoming_module.AnswerSink,
        rejection: rejections.RejectedError,
        route_name: str,
    ) -> bool:
        """Rejects a request; returns whether that cut off a begun answer."""
        if sink.begun:
            # The head reported success: only closing the connection tells the
            # caller of the failure.
            sink.cut()
            return self._note_cut(sink, route_name, rejection.reason)
        await sink.refuse(
            rejection.response,
            detail=rejection.reason,
            retry_after=rejection.retry_after,
        )
        return False

    def _note_cut(
        self,
        sink: incoming_module.AnswerSink,
        route_name: str,
        reason: str,
    ) -> bool:
        """Counts a cut answer; returns whether it had begun."""
        if sink.begun:
            self._metrics.add(
                "answers_cut_total", route=route_name, reason=reason
            )
        return sink.begun

    def _note_end(
        self,
        incoming: incoming_module.Incoming,
        job: job_module.Job | None,
        route_name: str,
        ending: endings.Ending,
        *,
        is_cut: bool,
    ) -> None:
        duration = self._clock.monotonic() - incoming.arrived_at
        logs.note(
            "request:ended",
            request=incoming.facts.request_id,
            identity=job.identity.hex() if job else None,
            route=route_name,
            team=job.team.name if job and job.team else None,
            code=ending.code.number,
            outcome=ending.reason,
            attempts=job.tries if job else 0,
            cut=is_cut,
            configuration=job.admission.version if job else None,
            proof_age_ms=job.admission.proof_age_ms if job else None,
            newer_known=(job.admission.newer_known if job else None) or None,
            duration_ms=round(duration / datetime.timedelta(milliseconds=1)),
            **(job.progress.logged(incoming.arrived_at) if job else {}),
        )
        self._metrics.add(
            "relayed_total", route=route_name, code=ending.code.name
        )
        self._metrics.observe(
            "relayed_seconds", duration.total_seconds(), route=route_name
        )


def _team(
    configuration: model.Configuration, route: model.Route, key: str | None
) -> model.Team | None:
    if not route.needs_key:
        return None
    return configuration.teams_by_key.get(key or "")


def _stopped() -> rejections.RejectedError:
    """Returns the rejection of a request that the instance's stop has ended."""
    return rejections.RejectedError(
        wire.FixedResponse.FAILED_PERHAPS_RUN,
        reason="this instance stopped during a run",
    )


def _fault(job: job_module.Job | None) -> rejections.RejectedError:
    """Returns the rejection of a request that met an internal error."""
    not_sent = job is None or not job.tries
    return rejections.RejectedError(
        wire.FixedResponse.NOT_RUN
        if not_sent
        else wire.FixedResponse.FAILED_PERHAPS_RUN,
        reason="internal fault",
        retry_after=_RETRY_AFTER_FAULT if not_sent else None,
    )
