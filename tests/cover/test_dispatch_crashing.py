"""A generation that ends each engine that runs it, in the OpenAI entry."""

import contextlib
import unittest

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.foundation import errors
from tests import fakes
from tests.cover import dispatch_errors

ENGINES = 6
COPIES = 6
# What the users' rule allows once three engines have ended under a request.
RETRIES_AFTER_THREE = 3


class EndingEngine(fakes.FakeEngine):
    """Ends under each generation, and refuses connections until it is back."""

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


class CrashingGenerationTest(unittest.IsolatedAsyncioTestCase):
    async def test_copies_of_a_request_that_ended_three_engines(self):
        """A caller's request ends each engine that begins to run it, and all
        that the engine generates for others. The caller hears that its outcome
        is unknown, and sends the same again. Each copy was new to the instance,
        and ended up to four engines more.
        """
        fixture = fakes.Fixture()
        addresses = [f"e{number}:1" for number in range(ENGINES)]
        fixture.backends.addresses = addresses
        for address in addresses:
            fixture.engines[address] = EndingEngine()
        dispatcher = fixture.dispatcher()
        for _ in range(COPIES):
            for ended in fixture.engines.values():
                ended.is_up = True
            request = fakes.generation_request(fixture)
            with contextlib.suppress(errors.CodedError):
                await fakes.to_end(
                    fixture.clock,
                    dispatcher.generate(request, fakes.RecordingSink()),
                )
        arrivals = sum(len(e.generations) for e in fixture.engines.values())
        self.assertLessEqual(arrivals, 3 + RETRIES_AFTER_THREE)


if __name__ == "__main__":
    unittest.main()
