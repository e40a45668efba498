"""Requests under way that lose their template, their route or their repeat."""

import msgspec

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.limits import concurrency_limit
from tests import fake_config
from tests import fakes
from tests.cover import dispatch_errors
from tests.cover import plain_requests
from tests.cover import revoked_access_case


class FinalErrorTest(revoked_access_case.RevokedAccessCase):
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


class ChangedRouteTest(revoked_access_case.RevokedAccessCase):
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


class TokenTest(revoked_access_case.RevokedAccessCase):
    """What a token that is taken away means for requests let in with it."""

    def revoke_token(self) -> None:
        self.change_team(tokens=())

    def assert_denied(self, error: errors.CodedError) -> None:
        self.assertIs(error.code, codes.Code.BAD_TOKEN)
        self.assertIs(error.run_state, codes.RunState.NOT_RUN)

    async def test_what_waits_for_a_place_is_not_let_in_late(self):
        """The caller hears 401, not run: its token went while it waited.

        One request holds the only place; the next waits behind it. The
        operator takes their token away, and then the place is free.
        """
        one_place = concurrency_limit.FixedLimit(slots=1)
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
        self.revoke_token()
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
            self.revoke_token()
            self.assert_denied(await self.refused(asking))
            self.restore_token()
        self.assertEqual(self.second.generations, [])
        self.assertEqual(len(self.fixture.services.calls), 1)

    def restore_token(self) -> None:
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
            self.revoke_token()
            await self.ended(asking)
            self.restore_token()
        self.assertEqual(self.sink.text, "The boiler holds.")
        self.assertEqual(len(self.fixture.services.calls), 2)

    async def test_a_begun_answer_goes_on(self):
        """The caller reads on, at another engine when its own is lost."""
        self.first.scripts.append(fakes.Script(gate=self.gate, cut_after=2))
        self.first.scripts.extend(
            [fakes.Script(fails=dispatch_errors.refused())] * 20
        )
        asking = await self.started(self.generate())
        self.revoke_token()
        answer = await self.ended(asking)
        self.assertEqual(answer.text, "The boiler holds.")
        self.assertEqual(self.sink.text, answer.text)
        self.assertEqual(len(self.second.generations), 1)
