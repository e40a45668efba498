"""Generations of the OpenAI entry that crash each engine that runs them."""

import dataclasses
import datetime
import unittest

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.suspects import probes
from tests import fakes
from tests.cover import dispatch_errors

ENGINES = 6
COPIES = 6
# Engines take longer than this to start.
ENGINE_START = datetime.timedelta(seconds=10)
# Retries permitted once three engines have crashed under a request.
RETRIES_AFTER_THREE = 3


class CrashingEngine(fakes.FakeEngine):
    """Crashes under each generation; refuses connections until restarted."""

    def __init__(self):
        super().__init__()
        self.is_up = True

    async def generate(self, generation):
        if not self.is_up:
            raise dispatch_errors.refused()
        self.generations.append(generation)
        self.is_up = False
        yield engine.Chunk(
            attempt_id=generation.attempt_id, token_index=0, tokens=1, text="a"
        )
        raise dispatch_errors.lost()

    async def load_report(self):
        if not self.is_up:
            raise failures.NotDoneError("connection refused")
        return engine.LoadReport(loaded=(), running=0, waiting=0, capacity=8)


class CrashingGenerationCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.fixture = fakes.Fixture()
        addresses = [f"e{number}:1" for number in range(ENGINES)]
        self.fixture.backends.addresses = addresses
        for address in addresses:
            self.fixture.engines[address] = CrashingEngine()
        self.dispatcher = self.fixture.dispatcher()

    async def copy(self, *messages: engine.Message) -> errors.CodedError | None:
        """Sends a copy once all engines have restarted; returns its error.

        Args:
            messages: Its conversation; none for the same one each time.
        """
        for ended in self.fixture.engines.values():
            ended.is_up = True
        request = fakes.generation_request(self.fixture)
        if messages:
            request = dataclasses.replace(request, messages=messages)
        try:
            await fakes.to_end(
                self.fixture.clock,
                self.dispatcher.generate(request, fakes.RecordingSink()),
            )
        except errors.CodedError as error:
            return error
        return None

    def arrivals(self) -> int:
        """Returns how many generations the engines received."""
        return sum(len(e.generations) for e in self.fixture.engines.values())


class CrashingGenerationTest(CrashingGenerationCase):
    async def test_copies_of_a_request_that_crashed_three_engines(self):
        """A request crashes each engine that runs it, and the caller sends it
        again and again. Unless copies are recognised, each one crashes up to
        four more engines.
        """
        for _ in range(COPIES):
            await self.copy()
        self.assertLessEqual(self.arrivals(), 3 + RETRIES_AFTER_THREE)

    async def test_a_message_that_crashes_engines_is_stopped(self):
        """Requests have one earlier message in common and differ in the last,
        so that none is a copy of another.
        """
        cause = engine.Message(role="system", content="no engine survives")
        for number in range(COPIES):
            turn = engine.Message(role="user", content=f"turn {number}")
            await self.copy(cause, turn)
            await self.fixture.clock.advance(ENGINE_START)
        self.assertLessEqual(self.arrivals(), 5 + RETRIES_AFTER_THREE)

    async def test_a_copy_is_refused_as_not_run(self):
        await self.copy()
        before = self.arrivals()
        error = await self.copy()
        self.assertIs(error.code, codes.Code.QUARANTINED)
        self.assertIs(error.run_state, codes.RunState.NOT_RUN)
        self.assertGreater(error.retry_after, datetime.timedelta())
        self.assertEqual(self.arrivals(), before)

    async def test_a_probe_crashes_one_engine_at_most(self):
        await self.copy()
        before = self.arrivals()
        await self.fixture.clock.advance(probes.PROBE_DELAY)
        await self.copy()
        self.assertEqual(self.arrivals(), before + 1)

    async def test_a_probe_is_not_spent_without_a_backend(self):
        """A probe is due, but no backend server can take the copy. It is
        refused, and the probe must stay available for the next copy.
        """
        await self.copy()
        before = self.arrivals()
        await self.fixture.clock.advance(probes.PROBE_DELAY)
        addresses = list(self.fixture.backends.addresses)
        self.fixture.backends.addresses.clear()
        await self.copy()
        self.fixture.backends.addresses.extend(addresses)
        await self.copy()
        self.assertEqual(self.arrivals(), before + 1)

    async def test_lost_connections_quarantine_nothing(self):
        """Connections break again and again, but no engine crashes."""
        for address in self.fixture.backends.addresses:
            self.fixture.engines[address] = fakes.FakeEngine()
            self.fixture.engines[address].default = fakes.Script(
                fails=dispatch_errors.lost()
            )
        for _ in range(COPIES):
            error = await self.copy()
            self.assertIs(error.code, codes.Code.BACKEND_FAILED)


if __name__ == "__main__":
    unittest.main()
