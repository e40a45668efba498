"""In-memory plain services with a log of the calls that they ran."""

from collections.abc import Callable
import datetime

import msgspec

from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import answers
from nutmeghook.standins import faults as faults_module


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of a plain service's log: a call that took effect.

    Attributes:
        marker: The marker in the body or the path (`answers.marker_of`).
        started_ms: Wall time, in milliseconds since the epoch.
    """

    request_id: str
    method: str
    path: str
    marker: str
    started_ms: float


class ServiceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of the stand-in's answers."""

    marker: str
    count: int


Handler = Callable[[plain.PlainCall], plain.PlainAnswer]


class MemoryPlainService:
    """One plain service; runs and logs calls, and injects faults.

    Attributes:
        runs: The calls that took effect, oldest first.
        refuse_next: Number of calls to refuse before they run.
    """

    __slots__ = ("_clock", "_handler", "faults", "refuse_next", "runs")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        faults: faults_module.Faults | None = None,
        handler: Handler | None = None,
    ):
        self._clock = clock
        self._handler = handler or self._answer
        self.faults = faults or faults_module.Faults(clock=clock)
        self.refuse_next = 0
        self.runs: list[CallRecord] = []

    async def call(self, call: plain.PlainCall) -> plain.PlainAnswer:
        """Runs a call, unless a fault prevents it."""
        return await self.faults.write(lambda: self._run(call))

    def _run(self, call: plain.PlainCall) -> plain.PlainAnswer:
        if self.refuse_next > 0:
            self.refuse_next -= 1
            raise failures.NotDoneError(
                "refused before running",
                retry_after=datetime.timedelta(seconds=1),
                overloaded=True,
            )
        self.runs.append(
            CallRecord(
                request_id=call.request_id,
                method=call.method,
                path=call.path,
                marker=_marker_of(call),
                started_ms=self._clock.now().timestamp() * 1000,
            )
        )
        return self._handler(call)

    def _answer(self, call: plain.PlainCall) -> plain.PlainAnswer:
        answer = ServiceAnswer(marker=_marker_of(call), count=len(self.runs))
        return plain.PlainAnswer(
            status=200,
            headers=(("Content-Type", "application/json"),),
            body=msgspec.json.encode(answer),
        )


class MemoryPlainServices(plain.PlainServiceConnector):
    """Plain services in memory, by address."""

    __slots__ = ("services",)

    def __init__(self, *, services: dict[str, MemoryPlainService]):
        self.services = services

    async def call(
        self, address: str, call: plain.PlainCall
    ) -> plain.PlainAnswer:
        """Makes the call once and returns the answer."""
        return await self.services[address].call(call)


def _marker_of(call: plain.PlainCall) -> str:
    body = call.body.decode(errors="replace")
    return answers.marker_of(f"{body} {call.path}")
