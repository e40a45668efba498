"""Runs that can't end in time: which are refused, not begun, or moved."""

import asyncio
import datetime
import unittest
from unittest import mock

import eliot
from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import record_text
from nutmeghook.internal.relay import caller_sink
from nutmeghook.internal.relay import completion
from nutmeghook.internal.relay import expected_times
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import incoming
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import observations
from nutmeghook.internal.relay import prepared as prepared_module
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import choice as choice_module
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.replicas import replica_speed
from nutmeghook.internal.replicas import send_gate
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import in_force
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import driven_relay
from tests import log_lines
from tests import relay_fixture
from tests.cover import test_relay_further_attempts

IDEMPOTENT = model.RouteKind.IDEMPOTENT
ONCE = model.RouteKind.ONCE
STREAM = model.RouteKind.STREAM
MS = datetime.timedelta(milliseconds=1)
SECOND = relay_fixture.SECOND
Reply = users_replica.Reply
EVENTS = driven_relay.EVENTS
WHOLE = driven_relay.WHOLE
MODELS = driven_relay.MODELS
# A generation of as many tokens as the stand-ins give events.
TOKENS = ((headers.TOKEN_COUNTS, f"100,{len(EVENTS)}"),)
PLAIN_STREAM = (relay_fixture.AUTHORIZATION, *TOKENS)
ANY_MODEL = (*driven_relay.ANY_MODEL, *TOKENS)


class ScriptedTimes(generation_times.GenerationTimes):
    """Expects what a test says, of each model or of all (`""`).

    Attributes:
        first_ms: Time to the first event by model.
        token_ms: Time for each token by model.
    """

    __slots__ = ("first_ms", "token_ms")

    def __init__(self):
        super().__init__()
        self.first_ms: dict[str, float] = {}
        self.token_ms: dict[str, float] = {}

    def time_to_first_event(self, model: str, **_) -> datetime.timedelta:
        return self.first_ms.get(model, 0.0) * MS

    def generation_time(self, model: str, tokens: int, **_):
        return self.token_ms.get(model, 0.0) * tokens * MS


class ForecastCase(unittest.TestCase):
    """Gives each test a forecast for one replica of an uneven service."""

    def setUp(self):
        self.clock = clock_module.FakeClock()
        self.directory = directory_module.ReplicaDirectory(clock=self.clock)
        self.times = ScriptedTimes()
        self.forecast = completion.CompletionForecast(
            times=self.times, directory=self.directory, clock=self.clock
        )
        self.directory.put(
            entries.ReplicaEntry(
                replica_id="replica",
                service="service",
                address="127.0.0.1:1",
                data_centre="here",
                version="v1",
                slots=8,
                leaving=False,
            )
        )
        (self.replica,) = self.directory.of_service("service")

    def become_uneven(self) -> None:
        self.directory.note_load(
            self.replica, running=1, waiting=0, work_time_percent=100
        )

    def choice(self) -> choice_module.Choice:
        return choice_module.Choice(
            replica=self.replica,
            forecast=replica_forecast.Forecast(
                replica=self.replica,
                waiting=0 * MS,
                prefill=0 * MS,
                cached=0.0,
                slowness=self.replica.speed.slowness(self.clock.monotonic()),
            ),
        )

    def job(self, *, tokens: int = 100, **changes) -> job_module.Job:
        route = relay_fixture.route(STREAM, **changes)
        facts = wire.CallerFacts(
            request_id="request",
            time_left=None,
            api_key=None,
            session=None,
            any_model=False,
            prompt=wire.Prompt(input_tokens=100, max_output_tokens=tokens),
            last_event_id=None,
            forwarded=(),
        )
        return job_module.Job(
            incoming=incoming.Incoming(
                method="POST",
                target="/stream/x",
                host=relay_fixture.HOST,
                facts=facts,
                body=b"",
                arrived_at=self.clock.monotonic(),
                held=mock.Mock(),
            ),
            sink=mock.create_autospec(incoming.AnswerSink, instance=True),
            route=route,
            team=None,
            deadline=self.clock.monotonic() + route.time_limit,
            admission=in_force.Admission(version=1),
        )

    def prepared(self, job: job_module.Job) -> prepared_module.PreparedAttempt:
        choice = self.choice()
        return prepared_module.PreparedAttempt(
            replica=self.replica,
            outgoing=None,
            sent_at=self.clock.monotonic(),
            route=job.route,
            model="",
            forecast=choice.forecast,
            after_event=None,
            expected=self.forecast.expected(job, choice),
        )

    def know(self, count: int, *, events: int = 100, **changes) -> None:
        """Lets some generations of 100 tokens end, of a route with changes."""
        job = self.job(**changes)
        for _ in range(count):
            self.forecast.note_generation(
                job, self.prepared(job), events=events
            )

    def is_hopeless(self, job: job_module.Job) -> bool:
        return self.forecast.hopeless(job, self.choice()) is not None


class HopelessTest(ForecastCase):
    """A request is refused in error, and its caller gets nothing."""

    def setUp(self):
        super().setUp()
        self.times.first_ms[""] = 11_000.0

    def test_priors_refuse_nothing(self):
        """Fewer than 20 answers are known, so the forecast is mostly a prior.
        Even an absurd one must refuse nothing.
        """
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS - 1)
        self.assertFalse(self.is_hopeless(self.job()))
        self.know(1)
        self.assertTrue(self.is_hopeless(self.job()))

    def test_a_forecast_that_is_twice_too_high_refuses_nothing(self):
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS)
        self.times.first_ms[""] = 9_900.0
        self.assertFalse(self.is_hopeless(self.job()))

    def test_a_wrong_forecast_does_not_refuse_for_ever(self):
        """All requests are refused for a wrong forecast. Then none is answered,
        and nothing would ever correct it: requests must be sent again.
        """
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS)
        asyncio.run(
            self.clock.advance(completion.MAX_ANSWER_AGE + SECOND / 1000)
        )
        self.assertFalse(self.is_hopeless(self.job()))

    def test_answers_of_another_route_keep_no_wrong_forecast_alive(self):
        """One route's long generations are all refused for a wrong forecast,
        while another route's short ones are answered by the same model. Did
        those count as recent answers, the long ones would be refused for ever.
        """
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS)
        self.know(completion.KNOWN_ANSWERS, name="other")
        self.assertTrue(self.is_hopeless(self.job()))
        age = completion.MAX_ANSWER_AGE + SECOND / 1000
        asyncio.run(self.clock.advance(age))
        self.know(1, name="other")
        self.assertFalse(self.is_hopeless(self.job()))
        self.assertTrue(self.is_hopeless(self.job(name="other")))

    def test_a_service_that_is_not_uneven_refuses_nothing(self):
        self.know(completion.KNOWN_ANSWERS)
        self.assertFalse(self.is_hopeless(self.job()))

    def test_a_lost_attempt_moves_where_a_working_one_stays(self):
        """A fresh run is expected to end just too late. A replica that only is
        silent may still answer sooner; one that is unreachable will not.
        """
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS)
        self.times.first_ms[""] = 6_000.0
        for is_unreachable in (False, True):
            self.assertIs(
                self.forecast.may_move(
                    self.job(), self.choice(), is_unreachable=is_unreachable
                ),
                is_unreachable,
            )

    def test_without_recent_answers_no_working_replica_is_abandoned(self):
        """Under overload a route gets no answer for 5 s. Were all moves
        permitted then, replicas would lose work for runs that can't end.
        """
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS)
        age = completion.MAX_ANSWER_AGE + SECOND / 1000
        asyncio.run(self.clock.advance(age))
        for is_unreachable in (False, True):
            self.assertIs(
                self.forecast.may_move(
                    self.job(), self.choice(), is_unreachable=is_unreachable
                ),
                is_unreachable,
            )

    def test_a_slow_replica_is_not_expected_to_end_in_time(self):
        """A replica takes four times as long as others. Its expected end must
        be its own, or requests are sent there in vain.
        """
        self.become_uneven()
        self.know(completion.KNOWN_ANSWERS)
        self.times.first_ms[""] = 3_000.0
        self.assertFalse(self.is_hopeless(self.job()))
        with mock.patch.object(
            replica_speed.ReplicaSpeed, "slowness", return_value=4.0
        ):
            self.assertTrue(self.is_hopeless(self.job()))

    def test_only_the_rest_of_a_begun_stream_has_to_fit(self):
        """Nine tenths of a long stream are forwarded. Were its whole length
        expected again, it would be cut although the rest fits easily.
        """
        self.become_uneven()
        self.times.first_ms[""] = 100.0
        self.times.token_ms[""] = 150.0
        # Every event holds two tokens.
        self.know(completion.KNOWN_ANSWERS, events=50)
        job = self.job()
        self.assertTrue(self.is_hopeless(job))
        for _ in range(45):
            job.progress.note_event(self.clock.monotonic())
        self.assertFalse(self.is_hopeless(job))


class SilenceTest(ForecastCase):
    """A silent replica is abandoned too late, or a working one too early."""

    def silence(self, **changes) -> datetime.timedelta:
        job = self.job(**changes)
        return self.forecast.silence(
            job, self.prepared(job), longest=2.5 * job.route.target
        )

    def pause(self, **changes) -> datetime.timedelta:
        """Returns the bound of a pause after two events 600 ms apart."""
        job = self.job(**changes)
        prepared = self.prepared(job)
        job.progress.note_event(self.clock.monotonic())
        asyncio.run(self.clock.advance(600 * MS))
        job.progress.note_event(self.clock.monotonic())
        return self.forecast.pause(
            job, prepared, longest=2.5 * job.route.longest_pause
        )

    def test_a_silent_replica_is_abandoned_while_another_can_still_end(self):
        """2.5 targets are the whole time limit, so a request would wait for a
        silent replica until its time is over.
        """
        self.become_uneven()
        self.times.first_ms[""] = 500.0
        self.times.token_ms[""] = 5.0
        silence = self.silence(target=2 * SECOND, time_limit=5 * SECOND)
        self.assertEqual(silence, 3.5 * SECOND)

    def test_a_service_that_is_not_uneven_keeps_its_bound(self):
        self.times.first_ms[""] = 500.0
        silence = self.silence(target=2 * SECOND, time_limit=5 * SECOND)
        self.assertEqual(silence, 5 * SECOND)

    def test_a_loaded_replica_is_not_abandoned(self):
        """An attempt is expected to begin late since much is running. It is not
        abandoned before three times that, however little time is left.
        """
        self.become_uneven()
        self.times.first_ms[""] = 1_200.0
        silence = self.silence(target=2 * SECOND, time_limit=4 * SECOND)
        self.assertEqual(silence, 3.6 * SECOND)

    def test_a_stream_of_slow_events_is_not_abandoned(self):
        """A loaded replica sends an event each 600 ms. Its usual pause must not
        count as silence when the time runs short.
        """
        self.become_uneven()
        self.times.first_ms[""] = 1_500.0
        pause = self.pause(longest_pause=SECOND, time_limit=3 * SECOND)
        self.assertEqual(pause, 2.5 * SECOND)

    def test_a_paused_stream_is_abandoned_while_another_can_still_end(self):
        self.become_uneven()
        self.times.first_ms[""] = 600.0
        pause = self.pause(longest_pause=2 * SECOND, time_limit=5 * SECOND)
        # 4,400 ms are left, of which a fresh run needs 900 ms.
        self.assertEqual(pause, 3_500 * MS)

    @given(
        first_ms=strategies.floats(min_value=0.0, max_value=1e5),
        token_ms=strategies.floats(min_value=0.0, max_value=1e3),
        slowness=strategies.floats(min_value=0.125, max_value=8.0),
        target_ms=strategies.integers(min_value=100, max_value=20_000),
        limit_ms=strategies.integers(min_value=1, max_value=60_000),
    )
    def test_no_forecast_leaves_the_bounds(
        self, first_ms, token_ms, slowness, target_ms, limit_ms
    ):
        """Whatever is expected, a replica is silent for at most 2.5 targets,
        and for at least three times its expected time if that is less.
        """
        self.become_uneven()
        self.times.first_ms[""] = first_ms
        self.times.token_ms[""] = token_ms
        with mock.patch.object(
            replica_speed.ReplicaSpeed, "slowness", return_value=slowness
        ):
            silence = self.silence(
                target=target_ms * MS, time_limit=limit_ms * MS
            )
        longest = 2.5 * target_ms * MS
        self.assertLessEqual(silence, longest)
        self.assertGreaterEqual(
            silence + MS, min(longest, 3 * first_ms * slowness * MS)
        )


class RelayedCase(driven_relay.BudgetedRelayCase):
    """Gives each test a relay of an uneven service whose times it says."""

    def build_listener(self):
        """Returns a relay, and keeps its forecast and its times."""

        def kept(**parts) -> completion.CompletionForecast:
            self.forecast = built(**parts)
            return self.forecast

        self.times = ScriptedTimes()
        built = completion.CompletionForecast
        with (
            mock.patch.object(completion, "CompletionForecast", kept),
            mock.patch.object(
                generation_times, "GenerationTimes", lambda: self.times
            ),
        ):
            return super().build_listener()

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.messages = []
        logs.start_with(self.messages.append)
        self.addCleanup(eliot.remove_destination, self.messages.append)
        self.set_work_time(100)

    def set_work_time(self, percent: float | None) -> None:
        for replica in self.directory.of_service("service"):
            self.directory.note_load(
                replica, running=1, waiting=0, work_time_percent=percent
            )

    def logged(self, message_type: str) -> list[dict[str, object]]:
        """Returns the lines of a type."""
        return [m for m in self.messages if m["message_type"] == message_type]

    def offer(self, kind: model.RouteKind, **changes) -> None:
        """Puts a route with a target of 2 s and a limit of 5 s in force."""
        limits = {"target": 2 * SECOND, "time_limit": 5 * SECOND}
        self.put_in_force(relay_fixture.route(kind, **(limits | changes)))

    async def know_answers(self, **options) -> None:
        """Lets enough streams of four events end; forgets the requests."""
        self.reply_with(Reply(events=EVENTS, confidence=90))
        options = {"extra": PLAIN_STREAM} | options
        for _ in range(completion.KNOWN_ANSWERS):
            await self.ask(STREAM, **options)
        self.forget_requests()

    def forget_requests(self) -> None:
        for replica in self.replicas:
            replica.received.clear()
            replica.request_received.clear()
        self.messages.clear()

    def know_plain(self, kind: model.RouteKind, took: datetime.timedelta):
        """Records whole answers of a route that took so long."""
        (replica, *_) = self.directory.of_service("service")
        prepared = mock.create_autospec(
            prepared_module.PreparedAttempt, instance=True
        )
        prepared.replica = replica
        prepared.route = relay_fixture.route(kind)
        for _ in range(completion.KNOWN_ANSWERS):
            self.forecast.note_whole(prepared, took)

    async def ask_stream(self, **options) -> bytes:
        """Requests a generation and drives the clock to its end."""
        options = {"extra": PLAIN_STREAM} | options
        return await self.answer_of(
            asyncio.create_task(self.ask(STREAM, **options))
        )

    def even(self):
        """Returns a context in which no service counts as uneven."""
        return mock.patch.object(
            directory_module.ReplicaDirectory, "is_uneven", return_value=False
        )


class RefusedTest(RelayedCase):
    async def test_a_refusal_for_the_expected_end_was_sent_to_no_replica(self):
        """A request can't end in its time. A caller that is told "not run"
        repeats it, so no replica may have had it.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 10_100.0
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.status_of(answer), 503)
        self.assertEqual(self.received_requests(), [])
        (line,) = self.logged("request:cannot_end")
        self.assertEqual((line["expected_ms"], line["left_ms"]), (10_100, 5000))
        (ended,) = self.logged("request:ended")
        self.assertEqual(ended["attempts"], 0)
        page = self.metrics.render([])[0].decode()
        self.assertIn('nutmeghook_cannot_end_total{route="stream"} 1', page)

    async def test_a_refused_caller_waits_for_a_third_of_its_time_at_most(self):
        """Little time is left. A longer Retry-After would end the caller's
        request although it could be repeated.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 10_100.0
        answer = await self.ask_stream(
            extra=(*PLAIN_STREAM, (headers.TIME_LEFT, "300"))
        )
        head = answer.partition(b"\r\n\r\n")[0].decode()
        (told,) = [
            line.partition(": ")[2]
            for line in head.split("\r\n")
            if line.startswith("Retry-After")
        ]
        self.assertLessEqual(float(told), 0.1)

    async def test_a_request_is_sent_if_half_of_its_time_fits(self):
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 9_900.0
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_request_that_another_model_can_end_is_sent(self):
        """The first model's answers take too long, another's don't. Only what
        no model can end is refused.
        """
        self.offer(STREAM, models=MODELS)
        await self.know_answers(extra=ANY_MODEL)
        self.times.first_ms = {"small": 11_000.0, "large": 100.0}
        self.know_large()
        answer = await self.ask_stream(extra=ANY_MODEL)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.times.first_ms["large"] = 11_000.0
        answer = await self.ask_stream(extra=ANY_MODEL)
        self.assertEqual(relay_fixture.status_of(answer), 503)

    def know_large(self) -> None:
        """Records answers of the large model."""
        job = mock.Mock(output_tokens=4, route=relay_fixture.route(STREAM))
        job.incoming.facts.last_event_id = None
        for _ in range(completion.KNOWN_ANSWERS):
            self.forecast.note_generation(
                job, mock.Mock(model="large"), events=4
            )

    async def test_a_request_for_a_slow_unconfirmed_replica_goes_elsewhere(
        self,
    ):
        """A slow replica's limit is to be confirmed by the next request. Were
        that request refused, so would be all others until the replica counts
        as fast, although every other replica could end them.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 2_000.0
        slow, other = self.directory.of_service("service")
        slow.speed = mock.Mock(slowness=lambda _: 8.0)
        other.speed = mock.Mock(slowness=lambda _: 1.0)
        with mock.patch.object(
            send_gate.OpenGate, "unconfirmed", return_value=[slow]
        ):
            answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        (sent,) = self.logged("attempt:sent")
        self.assertEqual(sent["replica"], other.entry.replica_id)

    async def test_a_stream_that_its_caller_resumes_is_not_refused(self):
        """A caller asks for the rest of a stream. How much that is, is not
        known, so the expected end of a whole one says nothing.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 10_100.0
        answer = await self.ask_stream(
            extra=(*PLAIN_STREAM, (headers.LAST_EVENT, "1"))
        )
        self.assertEqual(relay_fixture.events_of(answer), WHOLE[2:])

    async def test_a_service_that_is_not_uneven_refuses_nothing(self):
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 10_100.0
        with self.even():
            answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)


class LargerModelTest(RelayedCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.offer(STREAM, models=MODELS)
        self.reply_with(Reply(events=EVENTS, confidence=5))

    def models_asked(self) -> list[str]:
        return sorted(
            seen.headers[headers.MODEL.lower()]
            for seen in self.received_requests()
        )

    async def ask_with(self, left_ms: int) -> bytes:
        return await self.ask_stream(
            extra=(*ANY_MODEL, (headers.TIME_LEFT, str(left_ms)))
        )

    async def test_an_answer_is_not_dropped_for_one_that_ends_too_late(self):
        """A small model's answer is in hand and 3.5 s are left, of which a
        large model's takes 2.5 s in the mean. Many of these would be late, and
        then the caller gets nothing.
        """
        self.times.first_ms["large"] = 2_500.0
        answer = await self.ask_with(3_500)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(self.models_asked(), ["small"])

    async def test_a_larger_model_is_asked_while_there_is_time(self):
        self.times.first_ms["large"] = 300.0
        answer = await self.ask_with(3_500)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(self.models_asked(), ["large", "small"])

    async def test_a_service_that_is_not_uneven_asks_as_before(self):
        # A chance of an end that decided nothing else would still be taken.
        self.times.first_ms["large"] = 1_100.0
        with self.even():
            await self.ask_with(1_600)
        before = self.models_asked()
        self.forget_requests()
        await self.ask_with(1_600)
        self.assertEqual(before, ["large", "small"])
        self.assertEqual(self.models_asked(), ["small"])


class ResumedTest(RelayedCase):
    async def broken_off(self) -> bytes:
        """Requests a stream that breaks off after two events."""
        two_events = len(WHOLE[0]) * 2
        self.reply_with(
            Reply(events=EVENTS, send_bytes=two_events, reset=True),
            Reply(events=EVENTS),
        )
        return await self.ask_stream()

    async def test_no_replica_resumes_a_stream_that_it_can_not_end(self):
        """A stream breaks off, and its rest takes 24 s of which 5 are left. A
        replica that resumed it would only be kept from other work.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.slow_down()
        answer = await self.broken_off()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE[:2])
        self.assertFalse(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.received_requests()), 1)
        (ended,) = self.logged("request:ended")
        self.assertTrue(ended["cut"])

    def slow_down(self) -> None:
        """Lets each token take 12 s once a replica has the request."""

        def received(replica: users_replica.StandInReplica):
            decide = replica.decide

            def slow(request: users_replica.ReceivedRequest) -> Reply:
                self.times.token_ms[""] = 12_000.0
                return decide(request)

            return slow

        for replica in self.replicas:
            replica.decide_by(received(replica))

    async def test_a_stream_is_resumed_where_its_rest_can_end(self):
        """Each event comes once and in order."""
        self.offer(STREAM)
        await self.know_answers()
        self.times.token_ms[""] = 2_000.0
        answer = await self.broken_off()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_stream_that_its_caller_resumed_is_not_cut(self):
        """The rest of a stream that its caller resumed breaks off. How much is
        left is not known, and a replica could end it in time; judged by the
        time of a whole stream, it would be cut.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.slow_down()
        two_events = len(WHOLE[0]) * 2
        self.reply_with(
            Reply(events=EVENTS, send_bytes=two_events, reset=True),
            Reply(events=EVENTS),
        )
        answer = await self.ask_stream(
            extra=(*PLAIN_STREAM, (headers.LAST_EVENT, "0"))
        )
        self.assertEqual(relay_fixture.events_of(answer), WHOLE[1:])
        self.assertTrue(relay_fixture.is_complete(answer))

    async def test_a_service_that_is_not_uneven_resumes_as_before(self):
        self.offer(STREAM)
        await self.know_answers()
        self.slow_down()
        with self.even():
            answer = await self.broken_off()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)


class SilentTest(RelayedCase):
    async def test_a_stream_moves_from_a_silent_replica_within_its_limit(self):
        """A kind of request has a target of 2 s and a limit of 5 s. 2.5 targets
        are the limit, so its requests would never leave a silent replica.
        """
        self.offer(STREAM)
        self.times.first_ms[""] = 500.0
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        (line,) = self.logged("attempt:left")
        self.assertEqual(line["silence_ms"], 4_250)
        sent = self.logged("attempt:sent")[0]
        self.assertEqual(sent["expected_first_ms"], 500)
        self.assertEqual(sent["expected_end_ms"], 500)

    async def test_a_service_that_is_not_uneven_waits_as_before(self):
        self.offer(STREAM)
        self.times.first_ms[""] = 500.0
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        with self.even():
            answer = await self.ask_stream()
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_time_out_of_less_than_two_probes_is_kept(self):
        """Silence is looked at each 600 ms. A replica that is to be abandoned
        after 900 ms would be after 1,200, and no other could end in time then.
        """
        self.offer(STREAM, time_limit=1_300 * MS)
        await self.know_answers()
        self.times.first_ms[""] = 300.0
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)

    async def test_a_stream_stays_where_no_other_replica_can_end_it(self):
        """A replica is silent for long, and a fresh run elsewhere would end
        after the limit. Moving would only give up what may still come.
        """
        self.offer(STREAM)
        await self.know_answers()
        self.times.first_ms[""] = 500.0
        self.times.token_ms[""] = 1_075.0
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_events_come_once_and_in_order_after_a_move(self):
        """A stream falls silent after two events and moves before 2.5 pauses,
        since its time is short.
        """
        self.offer(STREAM, longest_pause=2 * SECOND, resumable=True, attempts=3)
        self.times.first_ms[""] = 600.0
        self.reply_with(
            Reply(events=EVENTS, stall_after=2), Reply(events=EVENTS)
        )
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertTrue(relay_fixture.is_complete(answer))
        self.assertEqual(len(self.resumed_after("1")), 1)
        (line,) = self.logged("attempt:left")
        self.assertLess(line["silence_ms"], 5_000)

    async def test_a_plain_call_moves_within_its_limit(self):
        """Three targets are more than the limit of a plain call, so it would
        wait for a silent replica until its time is over.
        """
        self.offer(IDEMPOTENT)
        self.know_plain(IDEMPOTENT, 400 * MS)
        self.reply_with(Reply(silent=True), Reply(body=b"from the other"))
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.body_of(answer), b"from the other")
        (line,) = self.logged("attempt:left")
        self.assertEqual(line["silence_ms"], 4_400)

    async def test_a_plain_call_stays_where_a_second_run_can_not_end(self):
        """A call is silent for five times its expected time, and less is left
        than a second run takes. The first one may still end.
        """
        self.offer(IDEMPOTENT, time_limit=2_200 * MS)
        self.know_plain(IDEMPOTENT, 400 * MS)
        self.reply_with(Reply(silent=True), Reply(body=b"from the other"))
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_plain_call_of_an_even_service_waits_as_before(self):
        self.offer(IDEMPOTENT)
        self.know_plain(IDEMPOTENT, 400 * MS)
        self.reply_with(Reply(silent=True), Reply(body=b"from the other"))
        with self.even():
            answer = await self.answer_of(
                asyncio.create_task(self.ask(IDEMPOTENT))
            )
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_request_that_may_run_once_never_moves(self):
        """A plain call that may run once was written to a replica, which stays
        silent. Another replica would run it a second time.
        """
        self.offer(ONCE)
        self.know_plain(ONCE, 400 * MS)
        self.reply_with(Reply(silent=True), Reply(body=b"a second run"))
        answer = await self.answer_of(asyncio.create_task(self.ask(ONCE)))
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_stream_that_may_run_once_never_moves(self):
        self.offer(STREAM, resumable=False)
        self.times.first_ms[""] = 500.0
        self.reply_with(Reply(silent=True), Reply(events=EVENTS))
        answer = await self.ask_stream()
        self.assertEqual(relay_fixture.status_of(answer), 504)
        self.assertEqual(len(self.received_requests()), 1)

    async def test_silence_cuts_no_stream_when_the_retry_budget_is_spent(self):
        """The time-out passes, and no further attempt is permitted. What the
        replica sends later is delivered.
        """
        self.offer(STREAM, target=20 * SECOND, time_limit=60 * SECOND)
        self.times.first_ms[""] = 100.0
        self.times.token_ms[""] = 9_900.0
        # The budget stays spent for longer than the silence.
        self.budgets.change(ratio=0.9, window=60 * SECOND)
        self.spend_all()
        self.reply_with(Reply(events=EVENTS, pause_s=0.05))
        asking = asyncio.create_task(self.ask(STREAM, extra=PLAIN_STREAM))
        await self.arrival()
        await self.clock.advance(10 * SECOND)
        answer = await self.answer_of(asking)
        self.assertEqual(relay_fixture.events_of(answer), WHOLE)
        self.assertEqual(len(self.received_requests()), 1)


class MeasuredTest(RelayedCase):
    async def measured(
        self, *, pause: datetime.timedelta = 0 * MS, after: str | None = None
    ) -> tuple[int, int]:
        """Returns how many generation times and paces a stream counted for.

        Args:
            pause: How long its caller takes to read each event.
            after: The event after which its caller resumes it.
        """
        resumed = () if after is None else ((headers.LAST_EVENT, after),)
        write = caller_sink.CallerSink.write

        async def write_slowly(sink: caller_sink.CallerSink, data: bytes):
            await self.clock.sleep(pause)
            await write(sink, data)

        self.offer(STREAM)
        self.reply_with(Reply(events=EVENTS))
        with (
            mock.patch.object(caller_sink.CallerSink, "write", write_slowly),
            mock.patch.object(
                generation_times.GenerationTimes, "note_generation"
            ) as times,
            mock.patch.object(
                observations.AnswerObserver, "note_pace"
            ) as paces,
        ):
            answer = await self.ask_stream(extra=(*PLAIN_STREAM, *resumed))
        self.assertTrue(relay_fixture.is_complete(answer))
        return times.call_count, paces.call_count

    async def test_a_slow_caller_does_not_make_its_replica_seem_slow(self):
        """A caller reads slowly, so the router does. The time that this takes
        would raise what is expected of all replicas, and requests that could
        end in time would be refused.
        """
        self.assertEqual(await self.measured(pause=200 * MS), (0, 0))

    async def test_a_caller_that_reads_at_once_is_measured(self):
        self.assertEqual(await self.measured(), (1, 1))

    async def test_a_rest_is_not_taken_for_a_whole_answer(self):
        """A caller resumes a stream. The time of the rest, divided by all the
        tokens asked for, would make the model seem faster than it is.
        """
        generations, _ = await self.measured(after="0")
        self.assertEqual(generations, 0)

    async def test_a_service_that_is_not_uneven_is_measured_as_before(self):
        with self.even():
            measured = await self.measured(pause=200 * MS)
        self.assertEqual(measured, (1, 1))


class PlainTimesTest(RelayedCase):
    async def test_a_generation_answered_whole_is_judged_by_its_answers(self):
        """A route's generations are answered whole, so no first event corrects
        their prior. Its answers come fast; judged by the prior, all requests
        with long prompts would be refused for ever.
        """
        self.offer(IDEMPOTENT)
        self.know_plain(IDEMPOTENT, 400 * MS)
        self.times.first_ms[""] = 11_000.0
        self.reply_with(Reply(body=b"answer"))
        answer = await self.answer_of(
            asyncio.create_task(self.ask(IDEMPOTENT, extra=PLAIN_STREAM))
        )
        self.assertEqual(relay_fixture.body_of(answer), b"answer")
        (sent,) = self.logged("attempt:sent")
        self.assertEqual(sent["expected_end_ms"], 400)

    async def test_an_answer_is_not_divided_by_the_slowness_it_shows(self):
        """A call takes four times as long as usual, and its replica is now
        believed to be slow. Divided by that, the call would count as a usual
        one in the mean of its route, and expected times would be too short.
        """
        self.offer(IDEMPOTENT)
        divided_by = []

        def note_pace(_, replica, *__):
            replica.speed.note(4.0, self.clock.monotonic())

        def note_whole(_, prepared, __):
            now = self.clock.monotonic()
            divided_by.append(prepared.replica.speed.slowness(now))

        self.forget_speeds()
        with (
            mock.patch.object(
                speed_registry.SpeedRegistry, "note_pace", note_pace
            ),
            mock.patch.object(
                completion.CompletionForecast, "note_whole", note_whole
            ),
        ):
            await self.ask(IDEMPOTENT)
        self.assertAlmostEqual(divided_by[0], 1.0, delta=0.01)

    def forget_speeds(self) -> None:
        """Lets nothing be known of the speeds of replicas."""
        for replica in self.directory.of_service("service"):
            replica.speed = replica_speed.ReplicaSpeed()


class ReadyAnswersTest(RelayedCase):
    def build_clock(self) -> clock_module.Clock:
        return test_relay_further_attempts.BusyClock()

    async def test_an_answer_that_comes_with_the_timeout_is_delivered(self):
        """The process is busy, so an answer and the shortened time-out come in
        one turn of the event loop. The answer is delivered and no other replica
        asked.
        """
        self.offer(IDEMPOTENT)
        self.know_plain(IDEMPOTENT, 400 * MS)
        self.clock.late_waits = 1
        self.reply_with(Reply(body=b"in hand"), Reply(body=b"another"))
        answer = await self.answer_of(asyncio.create_task(self.ask(IDEMPOTENT)))
        self.assertEqual(relay_fixture.body_of(answer), b"in hand")
        self.assertEqual(len(self.received_requests()), 1)

    async def test_a_ready_answer_is_delivered_after_its_expected_end(self):
        """An answer arrives as the time limit passes, long after it was
        expected. It is ready, so it is delivered.
        """
        self.offer(ONCE, time_limit=SECOND)
        self.know_plain(ONCE, 900 * MS)
        self.clock.late_waits = 1
        self.reply_with(Reply(body=b"in hand"))
        answer = await self.answer_of(asyncio.create_task(self.ask(ONCE)))
        self.assertEqual(relay_fixture.body_of(answer), b"in hand")


class StoryTest(unittest.TestCase):
    def test_a_story_tells_what_was_expected_and_how_long_it_was_silent(self):
        """Without both figures nobody can tell whether a refusal or a move was
        due to the replicas or to a wrong forecast.
        """
        refused = log_lines.line(
            "request:cannot_end", request="r", expected_ms=9000, left_ms=2000
        )
        left = log_lines.line(
            "attempt:left",
            request="r",
            attempt=1,
            replica="i-1",
            dark=False,
            silence_ms=2750,
        )
        told = [
            record_text.describe(log_decoding.decode(line.encode()))
            for line in (refused, left)
        ]
        self.assertEqual(
            told,
            [
                "refused before it was sent, for its expected end"
                " (expected_ms=9000 left_ms=2000)",
                "attempt 1 left: i-1 is silent for 2750 ms or more",
            ],
        )


class ExpectedTimesTest(unittest.TestCase):
    def test_a_fresh_run_is_expected_at_an_average_replica(self):
        """An attempt runs at a slow replica. Were a fresh run expected to take
        as long, the slow replica would be abandoned too early.
        """
        expected = expected_times.ExpectedTimes(
            first=4 * SECOND, rest=8 * SECOND, slowness=4.0
        )
        self.assertEqual(expected.elsewhere, 3 * SECOND)


if __name__ == "__main__":
    unittest.main()
