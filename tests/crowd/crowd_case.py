"""What must hold while a crowd is at a process, and after it."""

import abc
import asyncio
import unittest

import aiohttp

from tests.crowd import footprint as footprint_module
from tests.crowd import members

# An ordinary caller comes back so often, at the times that it is given.
TRIES = 10
RETRY_S = 0.5
# A hang, and no measure of speed.
ANSWER_TIMEOUT_S = 60
_PROMISES = frozenset({408, 429, 503})


class Call:
    """An ordinary caller's request."""

    __slots__ = ("body", "headers", "method", "url")

    def __init__(
        self,
        *,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes = b"",
    ):
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body


class CrowdCase(unittest.IsolatedAsyncioTestCase, abc.ABC):
    """A process, its bounds, and its ordinary callers.

    Attributes:
        pid: The process's.
        most_bytes: The memory of its machine.
        most_descriptors: The descriptors of its machine.
    """

    pid: int
    most_bytes: int
    most_descriptors: int

    @abc.abstractmethod
    def is_running(self) -> bool:
        """Tells whether the process runs."""

    @abc.abstractmethod
    def ordinary(self) -> list[Call]:
        """Returns ordinary requests, to all that the process serves."""

    @abc.abstractmethod
    def largest(self) -> Call:
        """Returns a request with a body of the largest legal size."""

    async def withstand(self, crowd: members.Crowd) -> None:
        """Lets a crowd come, and checks the process, its bounds and callers."""
        async with footprint_module.Footprint(pid=self.pid) as footprint:
            async with crowd:
                await self._check_served(self.ordinary())
            await self._check_served([*self.ordinary(), self.largest()])
        self.assertTrue(self.is_running(), "the process has ended")
        self.assertLessEqual(footprint.peak_descriptors, self.most_descriptors)
        self.assertLessEqual(footprint.peak_bytes, self.most_bytes)

    def assert_ended(self, crowd: members.Crowd, *, most_bytes: int) -> None:
        """Checks that no member could go on without end."""
        taken = max(member.sent_bytes for member in crowd.members)
        self.assertLessEqual(taken, most_bytes)

    def promised_not_run(self, crowd: members.Crowd) -> set[int]:
        """Returns the members whose requests were not run, by their status."""
        return {
            member.number
            for member in crowd.members
            if member.status in _PROMISES
        }

    async def _check_served(self, calls: list[Call]) -> None:
        for call in calls:
            self.assertTrue(self.is_running(), "the process has ended")
            self.assertEqual(await _answer(call), 200, call.url)


async def _answer(call: Call) -> int | str:
    """Returns the last status that a caller gets, or the last failure."""
    outcome: int | str = "no try"
    for _ in range(TRIES):
        pause_s = RETRY_S
        try:
            async with aiohttp.request(
                call.method,
                call.url,
                data=call.body,
                headers=call.headers,
                timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S),
            ) as answer:
                await answer.read()
                outcome = answer.status
                pause_s = float(answer.headers.get("Retry-After", RETRY_S))
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = repr(error)
        if outcome == 200:
            break
        await asyncio.sleep(pause_s)
    return outcome
