"""A caller's request, and the interface for answering it."""

import abc
import datetime

import msgspec

from nutmeghook.internal.relay import request_bytes
from nutmeghook.internal.relay import wire


class Incoming(msgspec.Struct, frozen=True, kw_only=True):
    """A request with its whole body.

    Attributes:
        target: Path and query exactly as sent.
        arrived_at: Monotonic time of its head's arrival.
        held: The bytes held for it.
    """

    method: str
    target: str
    host: str
    facts: wire.CallerFacts
    body: bytes
    arrived_at: datetime.timedelta
    held: request_bytes.RequestBytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def host_name(self) -> str:
        """The host in lower case, without a port."""
        return self.host.partition(":")[0].lower()


class AnswerSink(abc.ABC):
    """Sends one answer: either whole, or by begin, write and end."""

    @property
    @abc.abstractmethod
    def begun(self) -> bool:
        """Tells whether the caller was sent anything."""

    @abc.abstractmethod
    async def send_whole(
        self, status: int, headers: wire.Headers, body: bytes
    ) -> None:
        """Sends a whole answer."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: wire.Headers) -> None:
        """Sends the head of an answer of unknown length."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends a piece of the body."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Ends the body as complete."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Closes the connection so that the answer can't look complete."""

    @abc.abstractmethod
    async def refuse(
        self,
        response: wire.FixedResponse,
        *,
        detail: str,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        """Sends a refusal or failure of the relay itself."""
