"""Stand-in backend servers that record what they receive, and when."""

import dataclasses
import datetime
import random

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.routing import backends
from nutmeghook.standins import memory_engine


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReceivedRequest:
    """A request that a backend server received.

    Attributes:
        needs_permission: It needs the permission that the team loses.
    """

    request_id: str
    at: datetime.timedelta
    needs_permission: bool = True


class RecordingEngine(memory_engine.MemoryEngine):
    """An engine that records each generation that it receives.

    Args:
        restricted: The version that a team needs permission for.
    """

    def __init__(
        self,
        *,
        received: list[ReceivedRequest],
        restricted: engine.ModelVersion,
        **parts,
    ):
        super().__init__(**parts)
        self._received = received
        self._restricted = restricted

    async def generate(self, generation):
        request_id = generation.attempt_id.partition("/")[0]
        self._received.append(
            ReceivedRequest(
                request_id=request_id,
                at=self._clock.monotonic(),
                needs_permission=generation.model_version == self._restricted,
            )
        )
        async for chunk in super().generate(generation):
            yield chunk


class RecordingService(plain.PlainServiceConnector):
    """A plain service that records each call and answers after a delay."""

    def __init__(
        self,
        *,
        received: list[ReceivedRequest],
        takes: datetime.timedelta,
        clock,
    ):
        self._received = received
        self._takes = takes
        self._clock = clock
        self.called: set[str] = set()

    async def call(self, address, call):
        self._received.append(
            ReceivedRequest(
                request_id=call.request_id, at=self._clock.monotonic()
            )
        )
        self.called.add(call.request_id)
        await self._clock.sleep(self._takes)
        return plain.PlainAnswer(
            status=200, headers=(), body=call.request_id.encode()
        )


class AnyBackend(backends.BackendChooser):
    """Draws among the backend servers that were not tried."""

    def __init__(self, *, addresses: list[str], draw: random.Random):
        self._addresses = addresses
        self._draw = draw

    def choose(self, criteria):
        left = [a for a in self._addresses if a not in criteria.exclude]
        if not left:
            return None
        return backends.Backend(
            address=self._draw.choice(left),
            region="r",
            data_centre="dc0",
            service="pool",
        )

    def started(self, backend):
        pass

    def finished(self, backend, *, outcome, duration, report=None):
        pass
