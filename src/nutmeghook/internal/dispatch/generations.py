"""Takes a generation through admission and its cascade's stages."""

import functools

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings as rating_service
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.dispatch import engine_crashes
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import progress as progress_module
from nutmeghook.internal.dispatch import ratings as ratings_module
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.dispatch import stage_calls
from nutmeghook.internal.dispatch import stages as stages_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import admission as admission_module
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import cascade as cascade_module


class GenerationPath:
    """Produces a request's answer; the dispatcher claims and bills it."""

    __slots__ = (
        "_admission",
        "_cascade",
        "_clock",
        "_crashes",
        "_events",
        "_meter",
        "_ratings",
        "_stages",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        admission: admission_module.Admission,
        cascade: cascade_module.CascadePolicy,
        stages: stages_module.StageRunner,
        crashes: engine_crashes.EngineCrashDetector,
        ratings: ratings_module.RatingQueue,
        events: events_module.EventRing,
        meter: meter_module.Meter,
    ):
        self._clock = clock
        self._admission = admission
        self._cascade = cascade
        self._stages = stages
        self._crashes = crashes
        self._ratings = ratings
        self._events = events
        self._meter = meter

    async def produce(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
    ) -> answers.GeneratedAnswer:
        """Returns the complete answer, after the sink has got its text.

        Raises:
            errors.CodedError: There is none.
        """
        self._crashes.check(request, progress)
        asked = _admission_request(request)
        async with self._admission.admitted(asked):
            self._events.record(
                events_module.EventKind.REQUEST_ADMITTED,
                request.request_id,
                template=request.template.name,
            )
            try:
                return await self._cascade_stages(request, progress, sink)
            finally:
                # Whatever the outcome, and before the slot is released: which
                # request is next depends on what the teams have used.
                self._admission.reconcile(
                    asked, used_tokens=progress.used_tokens
                )

    async def give_held_answer(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
        error: errors.CodedError,
    ) -> answers.GeneratedAnswer | None:
        """Gives an earlier stage's answer after a later stage failed.

        An answer that was judged too weak is held, because the next stage may
        have no backend server or miss the deadline, and the caller would then
        get an error although a complete answer exists. Once the next stage's
        text has begun to go out, the held answer can no longer be given, since
        it would follow another answer's text.

        Args:
            request: The request.
            progress: Has the held answer, if there is one.
            sink: Takes its text.
            error: Why there is no better answer; recorded in the event.

        Returns:
            The held answer, after the sink has got its text; None if there is
            none to give.
        """
        if progress.held is None or progress.relayed:
            return None
        self._events.record(
            events_module.EventKind.HELD_ANSWER_GIVEN,
            request.request_id,
            version=str(progress.held.model_version),
            reason=str(error),
        )
        return await self._send_whole(request, progress, sink, progress.held)

    async def _send_whole(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
        answer: answers.GeneratedAnswer,
    ) -> answers.GeneratedAnswer:
        relay = self._relay(request, progress, sink, answer.model_version)
        if answer.text:
            await relay.take(answer.text)
        return answer

    async def _cascade_stages(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
    ) -> answers.GeneratedAnswer:
        question = cascade_module.CascadeQuestion(
            template=request.template,
            request_id=request.request_id,
            prompt_chars=request.prompt_chars,
        )
        plan = self._cascade.plan(question)
        final_stage = len(request.template.stages) - 1
        stage_index = min(plan.first_stage, final_stage)
        if plan.may_escalate:
            while stage_index < final_stage:
                answer = await self._run_judged(
                    request, progress, question, stage_index
                )
                if answer is not None:
                    return await self._send_whole(
                        request, progress, sink, answer
                    )
                stage_index += 1
        return await self._run_relayed(
            request, progress, question, stage_index, sink
        )

    async def _run_judged(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        question: cascade_module.CascadeQuestion,
        stage_index: int,
    ) -> answers.GeneratedAnswer | None:
        """Runs a stage that is not the last; None if the next is to run.

        Nothing is sent to the caller before the answer is accepted, since the
        next stage's answer may replace it. An answer judged too weak is put in
        `progress.held`. A stage that cannot run is skipped, because the next
        one is at least as good.
        """
        call = stage_calls.StageCall(
            request=request,
            progress=progress,
            stage_index=stage_index,
            consumer_for=lambda _: consumers.BufferingConsumer(),
        )
        try:
            answer = await self._stages.run(call)
        except errors.CodedError as error:
            if error.code in _NEXT_STAGE_CODES:
                return None
            raise
        self._offer_rating(question, stage_index, answer, call)
        accepted = self._cascade.accepts(
            question, stage_index=stage_index, answer=_as_judged(answer)
        )
        if accepted:
            return answer
        progress.held = answer
        return None

    async def _run_relayed(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        question: cascade_module.CascadeQuestion,
        stage_index: int,
        sink: answers.AnswerSink,
    ) -> answers.GeneratedAnswer:
        """Runs the last stage, whose text is streamed to the caller."""
        call = stage_calls.StageCall(
            request=request,
            progress=progress,
            stage_index=stage_index,
            consumer_for=functools.partial(
                self._relay, request, progress, sink
            ),
        )
        answer = await self._stages.run(call)
        self._offer_rating(question, stage_index, answer, call)
        return answer

    def _relay(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
        model_version: engine.ModelVersion,
    ) -> consumers.RelayingConsumer:
        return consumers.RelayingConsumer(
            sink=sink,
            model_version=model_version,
            progress=progress,
            on_first=functools.partial(self._note_first_token, request),
        )

    def _note_first_token(self, request: requests.GenerationRequest) -> None:
        self._events.record(
            events_module.EventKind.FIRST_TOKEN, request.request_id
        )
        self._meter.first_token(
            team=request.team.name,
            template=request.template.name,
            duration=self._clock.monotonic() - request.arrived,
        )

    def _offer_rating(
        self,
        question: cascade_module.CascadeQuestion,
        stage_index: int,
        answer: answers.GeneratedAnswer,
        call: stage_calls.StageCall,
    ) -> None:
        # Every answer of a version being rolled out is submitted: its exposure
        # counts as unrated until the rating arrives.
        if not call.choice.rolling_out and not self._cascade.wants_rating(
            question, stage_index=stage_index
        ):
            return
        request = call.request
        self._ratings.offer(
            rating_service.RatingTask(
                request_id=self._cascade.rating_id(
                    question,
                    stage_index=stage_index,
                    answer=_as_judged(answer),
                ),
                team=request.team.name,
                template=request.template.name,
                model_version=answer.model_version,
                stage=stage_index,
                prompt="\n".join(m.content for m in request.messages),
                answer=answer.text,
            )
        )


def _as_judged(
    answer: answers.GeneratedAnswer,
) -> cascade_module.CascadeAnswer:
    return cascade_module.CascadeAnswer(
        text=answer.text,
        output_tokens=answer.output_tokens,
        hit_length_limit=answer.finish is engine.FinishReason.LENGTH,
    )


def _admission_request(
    request: requests.GenerationRequest,
) -> admission_module.AdmissionRequest:
    template = request.template
    return admission_module.AdmissionRequest(
        team=request.team.name,
        template=template.name,
        weight=request.team.weight,
        priority=request.priority,
        deadline=request.deadline,
        cost_tokens=request.prompt_tokens_estimate + request.max_tokens,
        tokens_per_minute=template.tokens_per_minute,
    )


_NEXT_STAGE_CODES = frozenset(
    {
        codes.Code.NO_CANDIDATE,
        codes.Code.BACKEND_FAILED,
        codes.Code.BACKEND_REFUSED,
    }
)
