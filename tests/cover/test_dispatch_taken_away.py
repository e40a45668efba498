"""Requests under way that lose their template, their route or their repeat."""

import asyncio
import datetime
import unittest

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.observe import events
from tests import fake_config
from tests import fakes
from tests.cover import dispatch_errors
from tests.cover import plain_requests


class TakenAwayCase(unittest.IsolatedAsyncioTestCase):
    """Starts requests, and changes the configuration under them."""

    def setUp(self):
        self.fixture = fakes.Fixture()
        self.gate = asyncio.Event()
        self.sink = fakes.RecordingSink()
        self.first = self.fixture.engines["e1:1"]
        self.second = self.fixture.engines["e2:1"]

    def configure(self, **changes) -> None:
        """Puts a changed configuration in force."""
        config = self.fixture.config
        config.current = msgspec.structs.replace(config.snapshot, **changes)

    def change_team(self, **changes) -> None:
        team = self.fixture.config.snapshot.teams["agency"]
        team = msgspec.structs.replace(team, **changes)
        self.configure(teams={"agency": team})

    async def started(self, work) -> asyncio.Task:
        """Starts a request, which then waits for `gate` at its server."""
        asking = asyncio.ensure_future(work)
        await fakes.settle()
        return asking

    async def ended(self, asking: asyncio.Task):
        """Lets the server go on; returns the answer."""
        self.gate.set()
        return await fakes.to_end(self.fixture.clock, asking)

    async def refused(self, asking: asyncio.Task) -> errors.CodedError:
        with self.assertRaises(errors.CodedError) as caught:
            await self.ended(asking)
        return caught.exception

    def generate(self, **request_fields):
        return self.fixture.dispatcher().generate(
            fakes.generation_request(self.fixture, **request_fields),
            self.sink,
        )

    def call_plain(self, **request_fields):
        self.fixture.services.gate = self.gate
        return self.fixture.dispatcher().call_plain(
            plain_requests.plain_request(self.fixture, **request_fields)
        )

    def assert_told_unknown(self, error: errors.CodedError) -> None:
        self.assertIs(error.run_state, codes.RunState.UNKNOWN)
        self.assertIs(error.code, codes.Code.BACKEND_FAILED)
        ends = [event.kind for event in self.fixture.events.since(0)]
        self.assertIn(events.EventKind.REQUEST_UNKNOWN, ends)
        self.assertNotIn(events.EventKind.REQUEST_REFUSED, ends)


class ToldTrulyTest(TakenAwayCase):
    """A request that may have run is never answered as one that was refused.

    The body's run state was true before; status, code and time line were the
    late step's own, and said "not run".
    """

    async def test_a_route_taken_away_after_a_possible_run(self):
        """The caller hears 502 and `unknown`, not 403.

        Its call may be repeated. The first send is lost after it was written;
        before the repeat the operator takes the route away.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain(repeatable=True))
        self.change_team(plain_routes=())
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(len(self.fixture.services.calls), 1)

    async def test_a_template_removed_after_a_possible_run(self):
        """The caller hears 502 and `unknown`, not 404.

        The engine's connection breaks after the request was written. Before
        the repeat the operator removes the template; nothing may go out by a
        template that is gone, but what went out may have run.
        """
        self.first.scripts.append(
            fakes.Script(gate=self.gate, fails=dispatch_errors.lost())
        )
        asking = await self.started(self.generate())
        self.configure(templates={})
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(self.second.generations, [])

    async def test_a_model_taken_away_after_a_possible_run(self):
        """The caller hears 502 and `unknown`, not 403."""
        self.first.scripts.append(
            fakes.Script(gate=self.gate, fails=dispatch_errors.lost())
        )
        asking = await self.started(self.generate())
        self.fixture.versions.refusal = codes.Code.NOT_ALLOWED
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(self.second.generations, [])


class ChangedRouteTest(TakenAwayCase):
    """What a change of its route means for a call under way."""

    def change_routes(self, **changes) -> None:
        routes = self.fixture.config.snapshot.teams["agency"].plain_routes
        self.change_team(
            plain_routes=tuple(
                msgspec.structs.replace(route, **changes) for route in routes
            )
        )

    async def test_a_changed_time_limit_takes_no_route_away(self):
        """The caller gets its answer.

        The first backend server refuses; before the second is tried, an
        operator changes the route's time limit and priority. The team may
        call the service as before, but the caller was told 403.
        """
        for repeatable in (False, True):
            services = self.fixture.services
            services.outcomes.append(dispatch_errors.refused())
            asking = await self.started(self.call_plain(repeatable=repeatable))
            self.change_routes(deadline_ms=20_000, priority=6)
            answer = await self.ended(asking)
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(services.calls), 2)
            self.setUp()

    async def test_what_may_have_run_goes_on_by_a_changed_route(self):
        """The caller gets its answer: its call may be repeated, as before."""
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain(repeatable=True))
        self.change_routes(deadline_ms=20_000)
        self.assertEqual((await self.ended(asking)).status, 200)

    async def test_what_may_no_longer_be_repeated_is_not(self):
        """The caller hears `unknown` and not to come again.

        The first send is lost. Before the repeat the operator says that the
        route's calls may not be sent twice: this one may have run.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain(repeatable=True))
        self.change_routes(repeatable=False)
        error = await self.refused(asking)
        self.assert_told_unknown(error)
        self.assertIsNone(error.retry_after)
        self.assertEqual(len(self.fixture.services.calls), 1)

    async def test_a_narrower_route_takes_the_call_over(self):
        """The caller hears `unknown`: its path's own route forbids repeats.

        The first send is lost. Before the repeat the operator adds a route
        for just this path, whose calls may not be sent twice.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(
            self.call_plain(repeatable=True, path="/bookings/open/7?day=1")
        )
        routes = self.fixture.config.snapshot.teams["agency"].plain_routes
        narrower = msgspec.structs.replace(
            routes[1], path_prefix="/bookings/open/7", repeatable=False
        )
        self.change_team(plain_routes=(*routes, narrower))
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(len(self.fixture.services.calls), 1)

    async def test_a_call_taken_for_not_repeatable_stays_so(self):
        """The caller hears `unknown`: it was promised a call at most once.

        The send is lost. Meanwhile the operator allows repeats of the
        route's calls; this one was accepted as one that runs once.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain())
        self.change_routes(repeatable=True)
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(len(self.fixture.services.calls), 1)


class HeldAnswerTest(TakenAwayCase):
    """A whole answer that was judged weak is kept until a better one comes."""

    def setUp(self):
        super().setUp()
        self.fixture.cascade = fakes.FakeCascade(first_stage=0, may_go_on=True)
        self.fixture.cascade.accepted = False
        self.first.scripts.append(fakes.Script(words=("Perhaps ", "it does.")))
        self.strong = fakes.Script(gate=self.gate)
        self.first.scripts.append(self.strong)

    async def assert_held_answer_given(self, asking: asyncio.Task) -> None:
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "Perhaps it does.")
        self.assertEqual(answer.model_version, fakes.SMALL)
        self.assertEqual(self.sink.text, answer.text)
        [bill] = self.fixture.ledger.bills
        self.assertEqual(bill.model_version, str(fakes.SMALL))
        self.assertEqual(self.fixture.ledger.unknown, [])
        ends = [event.kind for event in self.fixture.events.since(0)]
        self.assertIn(events.EventKind.HELD_ANSWER_GIVEN, ends)

    async def test_no_backend_server_for_the_next_stage(self):
        """The caller gets the cheap answer that the instance has in hand.

        It was judged weak, and dropped; then no backend server had a place
        for the strong model, and the caller was told 502 `unknown`.
        """
        self.fixture.backends.model_addresses["large"] = ()
        await self.assert_held_answer_given(await self.started(self.generate()))

    async def test_each_end_of_the_next_stage(self):
        """The caller gets the cheap answer, whatever the strong model meets.

        It refuses, is lost, ends the generation or falls out of the
        template; the team loses it, or no instance may choose a version.
        """
        for scripts in (
            [fakes.Script(fails=dispatch_errors.refused())] * 4,
            [fakes.Script(fails=dispatch_errors.lost())] * 4,
        ):
            with self.subTest(str(scripts[0].fails)):
                self.first.scripts.pop()
                self.first.scripts.extend(scripts)
                self.second.scripts.extend(scripts)
                await self.assert_held_answer_given(
                    await self.started(self.generate())
                )
            self.setUp()
        with self.subTest("failed before a word"):
            self.strong.words = ("",)
            self.strong.finish = engine.FinishReason.FAILED
            self.fixture.budget.leave = 0
            await self.assert_held_answer_given(
                await self.started(self.generate())
            )

    async def test_the_next_stage_is_taken_away(self):
        """The caller gets the cheap answer; the strong model is forbidden.

        The strong model's engine refuses; before another one is tried, the
        template is gone, the model is taken from the team, the configuration
        is too old, or a session's version can't be found out.
        """
        for refusal in (
            codes.Code.UNKNOWN_TEMPLATE,
            codes.Code.NOT_ALLOWED,
            codes.Code.STALE_CONFIG,
            codes.Code.STORE_OUT,
        ):
            with self.subTest(refusal.name):
                self.strong.fails = dispatch_errors.refused()
                asking = await self.started(self.generate(key="finding-7"))
                self.fixture.versions.refusal = refusal
                if refusal is codes.Code.UNKNOWN_TEMPLATE:
                    self.configure(templates={})
                await self.assert_held_answer_given(asking)
            self.setUp()

    async def test_the_deadline_passes_in_the_next_stage(self):
        """The caller gets the cheap answer at its deadline, not 504.

        The strong model has not begun to answer by then.
        """
        asking = await self.started(self.generate(deadline_s=2))
        answer = await fakes.to_end(self.fixture.clock, asking)
        self.assertEqual(answer.text, "Perhaps it does.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(len(self.fixture.ledger.bills), 1)
        await fakes.settle()
        self.assertEqual(self.first.cancelled, ["req-1/2"])

    async def test_a_begun_answer_is_not_followed_by_the_held_one(self):
        """The caller reads one text only: half an answer, then the error.

        The strong model's text has begun when its engine is lost for good.
        """
        self.strong.cut_after = 1
        refused = fakes.Script(fails=dispatch_errors.refused())
        self.first.scripts.extend([refused] * 20)
        self.second.scripts.extend([refused] * 20)
        asking = await self.started(self.generate())
        error = await self.refused(asking)
        self.assertIs(error.code, codes.Code.BACKEND_FAILED)
        self.assertEqual(self.sink.text, "The ")

    async def test_nor_is_it_at_the_deadline(self):
        """The caller reads one text only: half an answer, then the error."""
        self.strong.order = [0]
        self.strong.goes_silent = True
        self.gate.set()
        asking = await self.started(self.generate(deadline_s=2))
        error = await self.refused(asking)
        self.assertIs(error.code, codes.Code.DEADLINE_DURING_RUN)
        self.assertEqual(self.sink.text, "The ")

    async def test_a_caller_that_leaves_gets_and_pays_nothing(self):
        """Nobody reads: the held answer is no reason to bill."""
        asking = await self.started(self.generate())
        asking.cancel()
        await fakes.settle()
        self.assertEqual(self.sink.text, "")
        self.assertEqual(self.fixture.ledger.bills, [])

    async def test_a_larger_model_s_weak_answer_goes_first(self):
        """The caller gets the last weak answer of three stages' first two."""
        snapshot = self.fixture.config.snapshot
        template = snapshot.template("agency", "review")
        largest = msgspec.structs.replace(template.stages[1], model="largest")
        template = msgspec.structs.replace(
            template, stages=(*template.stages, largest)
        )
        self.configure(templates={"agency/review": template})
        self.fixture.backends.model_addresses["largest"] = ()
        answer = await self.ended(await self.started(self.generate()))
        self.assertEqual(answer.model_version, fakes.LARGE)
        self.assertEqual(self.sink.text, "The boiler holds.")


class BegunStreamTest(TakenAwayCase):
    """A begun answer's engine is left only for an attempt that may follow.

    Its connection breaks after a word, and four more are refused: the engine
    can't be reached for some 0.75 s. It keeps the attempt for longer. The
    third try used to be the last, whatever came then.
    """

    def setUp(self):
        super().setUp()
        refused = fakes.Script(fails=dispatch_errors.refused())
        self.first.scripts.append(fakes.Script(gate=self.gate, cut_after=1))
        self.first.scripts.extend([refused] * 4)

    async def assert_goes_on(self, asking: asyncio.Task) -> None:
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(self.second.generations, [])
        self.assertEqual(
            {g.attempt_id for g in self.first.generations}, {"req-1/1"}
        )
        self.assertEqual(self.first.generations[-1].resume_at_token, 1)
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_no_leave_for_a_further_attempt(self):
        """The caller reads on; the retry budget is spent."""
        self.fixture.budget.leave = 0
        await self.assert_goes_on(await self.started(self.generate()))

    async def test_no_other_backend_server(self):
        """The caller reads on; there is nobody else to ask."""
        self.fixture.backends.addresses = ["e1:1"]
        await self.assert_goes_on(await self.started(self.generate()))
        self.assertEqual(self.fixture.budget.leave, 100)

    async def test_its_template_or_model_is_taken_away(self):
        """The caller reads on: its engine has had the work for long.

        No new work may go out for it, so it is not left for another engine,
        which would have been refused in mid-answer.
        """
        for refusal in (codes.Code.NOT_ALLOWED, codes.Code.NO_CANDIDATE):
            asking = await self.started(self.generate())
            self.fixture.versions.refusal = refusal
            await self.assert_goes_on(asking)
            self.assertEqual(self.fixture.budget.leave, 100)
            self.setUp()
        asking = await self.started(self.generate())
        self.configure(templates={})
        await self.assert_goes_on(asking)

    async def test_it_is_left_once_another_attempt_is_granted(self):
        """The caller reads on from another engine, asked for once.

        The budget is spent at first; a little later it has leave for one.
        """
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        self.fixture.budget.leave = 0
        asking = await self.started(self.generate())
        self.gate.set()
        await self.fixture.clock.advance(datetime.timedelta(milliseconds=500))
        self.assertEqual(self.sink.text, "The ")
        self.assertFalse(asking.done())
        self.fixture.budget.leave = 1
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        [repeat] = self.second.generations
        self.assertEqual(repeat.attempt_id, "req-1/2")
        self.assertEqual(self.fixture.budget.leave, 0)

    async def test_a_granted_attempt_that_is_refused_cuts_no_answer(self):
        """The caller reads on.

        Its engine can't be reached for a moment, and is left for another one
        with the last of the retry budget. That one refuses. The first is back
        by then, and would have kept the attempt for 10 s.
        """
        self.fixture.budget.leave = 1
        self.second.scripts.append(
            fakes.Script(fails=dispatch_errors.refused())
        )
        answer = await self.ended(await self.started(self.generate()))
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)

    async def test_an_engine_that_is_gone_ends_the_request(self):
        """The caller hears `unknown` in 7 s, long before its deadline.

        Nothing may replace the engine, and it does not come back; engines
        keep an attempt for some 10 s.
        """
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        self.fixture.budget.leave = 0
        asking = await self.started(self.generate(deadline_s=600))
        error = await self.refused(asking)
        self.assertIs(error.run_state, codes.RunState.UNKNOWN)
        self.assertLess(
            self.fixture.clock.monotonic(), datetime.timedelta(seconds=7)
        )


class TokenTest(TakenAwayCase):
    """What a token that is taken away means for requests let in with it."""

    def take_token_away(self) -> None:
        self.change_team(tokens=())

    def assert_denied(self, error: errors.CodedError) -> None:
        self.assertIs(error.code, codes.Code.BAD_TOKEN)
        self.assertIs(error.run_state, codes.RunState.NOT_RUN)

    async def test_what_waits_for_a_place_is_not_let_in_late(self):
        """The caller hears 401, not run: its token went while it waited.

        One request holds the only place; the next waits behind it. The
        operator takes their token away, and then the place is free.
        """
        one_place = concurrency_limit.FixedLimit(places=1)
        self.fixture.admission = self.fixture.plain_admission = (
            fakes.fair_admission_with(self.fixture.clock, one_place)
        )
        self.first.scripts.append(fakes.Script(gate=self.gate))
        dispatcher = self.fixture.dispatcher()
        under_way = await self.started(
            dispatcher.generate(
                fakes.generation_request(self.fixture), self.sink
            )
        )
        waiting = [
            await self.started(work)
            for work in (
                dispatcher.generate(
                    fakes.generation_request(self.fixture, key="finding-7"),
                    fakes.RecordingSink(),
                ),
                dispatcher.call_plain(
                    plain_requests.plain_request(self.fixture)
                ),
            )
        ]
        self.take_token_away()
        self.assertEqual((await self.ended(under_way)).text, self.sink.text)
        for asking in waiting:
            self.assert_denied(await self.refused(asking))
        self.assertEqual(len(self.first.generations), 1)
        self.assertEqual(self.fixture.services.calls, [])
        self.assertEqual(self.fixture.ledger.released, ["finding-7"])

    async def test_what_was_refused_everywhere_is_not_let_in_late(self):
        """The caller hears 401, not run: no server has begun its work."""
        refused = fakes.Script(gate=self.gate, fails=dispatch_errors.refused())
        self.first.scripts.append(refused)
        self.fixture.services.outcomes.append(dispatch_errors.refused())
        for work in (self.generate(), self.call_plain()):
            asking = await self.started(work)
            self.take_token_away()
            self.assert_denied(await self.refused(asking))
            self.give_token_back()
        self.assertEqual(self.second.generations, [])
        self.assertEqual(len(self.fixture.services.calls), 1)

    def give_token_back(self) -> None:
        """Gives the token back, and closes the gate."""
        self.configure(teams=fake_config.snapshot().teams)
        self.gate.clear()

    async def test_what_may_have_run_is_answered(self):
        """The caller gets its answer: it was let in, and work has begun.

        Its first server is lost; the repeat is no new request.
        """
        self.first.scripts.append(
            fakes.Script(gate=self.gate, fails=dispatch_errors.lost())
        )
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        for work in (self.generate(), self.call_plain(repeatable=True)):
            asking = await self.started(work)
            self.take_token_away()
            await self.ended(asking)
            self.give_token_back()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertEqual(len(self.fixture.services.calls), 2)

    async def test_a_begun_answer_goes_on(self):
        """The caller reads on, at another engine when its own is lost."""
        self.first.scripts.append(fakes.Script(gate=self.gate, cut_after=2))
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        asking = await self.started(self.generate())
        self.take_token_away()
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(len(self.second.generations), 1)
