"""Requests whose template, route, token or repeatability is revoked."""

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
    """A request that may have run must not be reported as refused.

    Status, code and event must agree with the body's run state, and not be
    those of the later step that was refused.
    """

    async def test_a_route_removed_after_a_possible_run(self):
        """A repeatable call is lost after it was written, and its route is
        removed before the retry.

        The caller must get 502 and `unknown`, not 403.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain(repeatable=True))
        self.change_team(plain_routes=())
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(len(self.fixture.services.calls), 1)

    async def test_a_template_removed_after_a_possible_run(self):
        """A request is lost after it was written, and its template is removed
        before the retry.

        The caller must get 502 and `unknown`, not 404.
        """
        self.first.scripts.append(
            fakes.Script(gate=self.gate, fails=dispatch_errors.lost())
        )
        asking = await self.started(self.generate())
        self.configure(templates={})
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(self.second.generations, [])

    async def test_a_model_revoked_after_a_possible_run(self):
        """The caller must get 502 and `unknown`, not 403."""
        self.first.scripts.append(
            fakes.Script(gate=self.gate, fails=dispatch_errors.lost())
        )
        asking = await self.started(self.generate())
        self.fixture.versions.refusal = codes.Code.NOT_ALLOWED
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(self.second.generations, [])


class ChangedRouteTest(revoked_access_case.RevokedAccessCase):
    """A call's route is changed while the call is under way."""

    def change_routes(self, **changes) -> None:
        routes = self.fixture.config.snapshot.teams["agency"].plain_routes
        self.change_team(
            plain_routes=tuple(
                msgspec.structs.replace(route, **changes) for route in routes
            )
        )

    async def test_a_changed_time_limit_removes_no_route(self):
        """A route's time limit and priority change between two sends.

        The team may call the service as before, so the caller must get its
        answer, not 403.
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

    async def test_a_possible_run_is_retried_by_a_changed_route(self):
        """The call is still repeatable, so the caller gets its answer."""
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain(repeatable=True))
        self.change_routes(deadline_ms=20_000)
        self.assertEqual((await self.ended(asking)).status, 200)

    async def test_a_call_that_is_no_longer_repeatable(self):
        """A send is lost, and its route is made not repeatable.

        The call may have run, so it must not be sent again: the caller gets
        `unknown` without a Retry-After.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain(repeatable=True))
        self.change_routes(repeatable=False)
        error = await self.refused(asking)
        self.assert_told_unknown(error)
        self.assertIsNone(error.retry_after)
        self.assertEqual(len(self.fixture.services.calls), 1)

    async def test_a_narrower_route_applies_to_the_call(self):
        """A send is lost, and a route for just its path is added whose calls
        are not repeatable.

        The call must not be sent again: the caller gets `unknown`.
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

    async def test_a_call_accepted_as_not_repeatable_stays_so(self):
        """A send is lost, and its route is made repeatable.

        The call was accepted as one that runs at most once, so it must not be
        sent again: the caller gets `unknown`.
        """
        self.fixture.services.outcomes.append(dispatch_errors.lost())
        asking = await self.started(self.call_plain())
        self.change_routes(repeatable=True)
        self.assert_told_unknown(await self.refused(asking))
        self.assertEqual(len(self.fixture.services.calls), 1)


class TokenTest(revoked_access_case.RevokedAccessCase):
    """A caller's token is revoked while its requests are under way."""

    def revoke_token(self) -> None:
        self.change_team(tokens=())

    def assert_denied(self, error: errors.CodedError) -> None:
        self.assertIs(error.code, codes.Code.BAD_TOKEN)
        self.assertIs(error.run_state, codes.RunState.NOT_RUN)

    async def test_a_request_that_waits_for_a_slot_is_refused(self):
        """Requests wait for the only slot while their token is revoked.

        They must get 401 and `not_run`; the one that holds the slot completes.
        """
        one_slot = concurrency_limit.FixedLimit(slots=1)
        self.fixture.admission = self.fixture.plain_admission = (
            fakes.fair_admission_with(self.fixture.clock, one_slot)
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

    async def test_a_request_that_no_server_began_is_refused(self):
        """No server has begun it: the caller gets 401 and `not_run`."""
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
        """Restores the token, and closes the gate."""
        self.configure(teams=fake_config.snapshot().teams)
        self.gate.clear()

    async def test_a_request_that_may_have_run_is_answered(self):
        """An accepted request's first server is lost.

        The retry is no new request, so the caller gets its answer.
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

    async def test_a_begun_answer_continues(self):
        """The answer continues, at another engine when its own is lost."""
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
