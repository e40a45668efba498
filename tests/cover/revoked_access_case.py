"""Base for tests of requests whose configuration changes under way."""

import asyncio
import unittest

import msgspec

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.observe import events
from tests import fakes
from tests.cover import plain_requests


class RevokedAccessCase(unittest.IsolatedAsyncioTestCase):
    """Starts requests and changes the configuration while they run."""

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
        """Opens the gate and returns the answer."""
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
