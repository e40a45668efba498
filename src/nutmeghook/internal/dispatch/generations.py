"""A generation's way through admission and the stages of its cascade."""

import functools

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings as rating_service
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import consumers
from nutmeghook.internal.dispatch import engine_ends
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
    """Produces a request's answer; claims and bills are the caller's."""

    __slots__ = (
        "_admission",
        "_cascade",
        "_clock",
        "_ends",
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
        ends: engine_ends.EngineEnds,
        ratings: ratings_module.RatingQueue,
        events: events_module.EventRing,
        meter: meter_module.Meter,
    ):
        self._clock = clock
        self._admission = admission
        self._cascade = cascade
        self._stages = stages
        self._ends = ends
        self._ratings = ratings
        self._events = events
        self._meter = meter

    async def produce(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
    ) -> answers.GeneratedAnswer:
        """Returns the whole answer, whose text the sink has by then.

        Raises:
            errors.CodedError: There is none.
        """
        self._ends.check(request, progress)
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
                # Whatever the outcome, and before the place is given to the
                # next one: who is next depends on what teams have used.
                self._admission.reconcile(
                    asked, used_tokens=progress.used_tokens
                )

    async def give_held(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        sink: answers.AnswerSink,
        error: errors.CodedError,
    ) -> answers.GeneratedAnswer | None:
        """Gives an earlier stage's answer, for want of a better one.

        The failure: a cheap answer was judged weak and dropped; then the next
        stage had no backend server, or nothing to say by the deadline. The
        caller heard an error, though there was a whole answer for it. So the
        answer is kept until the next stage's text begins to go out; from then
        on it can't be given, since one text must not follow another.

        Args:
            request: What was asked.
            progress: Has the answer, if there is one.
            sink: Takes its text.
            error: Why there is no better one; told on the time line.

        Returns:
            The answer, whose text the sink has; None if there is none to give.
        """
        if progress.held is None or progress.relayed:
            return None
        self._events.record(
            events_module.EventKind.HELD_ANSWER_GIVEN,
            request.request_id,
            version=str(progress.held.model_version),
            reason=str(error),
        )
        return await self._given(request, progress, sink, progress.held)

    async def _given(
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
                answer = await self._judged(
                    request, progress, question, stage_index
                )
                if answer is not None:
                    return await self._given(request, progress, sink, answer)
                stage_index += 1
        return await self._relayed(
            request, progress, question, stage_index, sink
        )

    async def _judged(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        question: cascade_module.CascadeQuestion,
        stage_index: int,
    ) -> answers.GeneratedAnswer | None:
        """Runs a stage that is not the last; None if the next is to run.

        An answer that was judged too weak stays in `progress.held`.

        The caller must not see a cheap answer that is then replaced: so not
        a byte is sent before the judgement. A stage that can't run at all is
        passed over, for the next one is no worse.
        """
        call = stage_calls.StageCall(
            request=request,
            progress=progress,
            stage_index=stage_index,
            consumer_for=lambda _: consumers.Holder(),
        )
        try:
            answer = await self._stages.run(call)
        except errors.CodedError as error:
            if error.code in _NEXT_STAGE_MAY_DO:
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

    async def _relayed(
        self,
        request: requests.GenerationRequest,
        progress: progress_module.Progress,
        question: cascade_module.CascadeQuestion,
        stage_index: int,
        sink: answers.AnswerSink,
    ) -> answers.GeneratedAnswer:
        """Runs the last stage, whose text goes to the caller as it comes."""
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
    ) -> consumers.Relay:
        return consumers.Relay(
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
        # Each answer of a rolling-out version is handed in: its exposure is
        # counted as unrated until the rating comes.
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


_NEXT_STAGE_MAY_DO = frozenset(
    {
        codes.Code.NO_CANDIDATE,
        codes.Code.BACKEND_FAILED,
        codes.Code.BACKEND_REFUSED,
    }
)
