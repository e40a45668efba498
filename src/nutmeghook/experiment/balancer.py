"""A stand-in of the platform's load balancer, in the load generator's process.

It polls each instance's /readyz and sends callers to a random instance that
was ready at the last poll, so its view may be one poll period old.
"""

import asyncio
import datetime
import random

import aiohttp

from nutmeghook.internal.foundation import clock as clock_module

POLL_PERIOD = datetime.timedelta(milliseconds=500)
POLL_TIMEOUT_S = 1.0


class Balancer:
    """Selects among the instances that were ready at the last poll."""

    __slots__ = ("_clock", "_http", "_instances", "_randomness", "_ready")

    def __init__(
        self,
        *,
        http: aiohttp.ClientSession,
        clock: clock_module.Clock,
        randomness: random.Random,
    ):
        self._http = http
        self._clock = clock
        self._randomness = randomness
        self._instances: set[str] = set()
        self._ready: set[str] = set()

    def add(self, address: str) -> None:
        """Adds an instance, assumed ready until it is polled."""
        self._instances.add(address)
        self._ready.add(address)

    def remove(self, address: str) -> None:
        """Removes an instance."""
        self._instances.discard(address)
        self._ready.discard(address)

    def pick(self) -> str:
        """Returns a ready instance's address, or any if none is ready."""
        candidates = sorted(self._ready) or sorted(self._instances)
        return self._randomness.choice(candidates)

    async def run(self) -> None:
        """Polls all instances periodically."""
        while True:
            await asyncio.gather(*(self._poll(a) for a in self._instances))
            await self._clock.sleep(POLL_PERIOD)

    async def _poll(self, address: str) -> None:
        try:
            async with self._http.get(
                f"http://{address}/readyz",
                timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_S),
            ) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            ready = False
        if ready and address in self._instances:
            self._ready.add(address)
        else:
            self._ready.discard(address)
