"""Interface of calls to other instances."""

import abc
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import Any

from nutmeghook.internal.inner import codec

# A message is an instance of a struct in `inner/generated`; the generator's
# classes share no base class, hence `Any`.
Message = Any
Handler = Callable[[Message], Awaitable[Message]]


class PeerUnreachableError(Exception):
    """No reply arrived; the peer may have handled the request."""


class PeerNotListeningError(PeerUnreachableError):
    """The peer's machine refused the connection: no instance runs there."""


class PeerRefusedError(Exception):
    """The peer replied with a failure.

    Attributes:
        code_number: A number of `foundation.codes`.
    """

    def __init__(self, *, code_number: int, detail: str):
        super().__init__(f"{code_number}: {detail}")
        self.code_number = code_number
        self.detail = detail


class PeerCaller(abc.ABC):
    """Sends requests to other instances over persistent connections."""

    @abc.abstractmethod
    async def call(
        self,
        inner_address: str,
        request: Message,
        *,
        timeout: datetime.timedelta,
    ) -> Message:
        """Sends a request to `ip:port` and returns the reply.

        Raises:
            PeerUnreachableError: No reply within the timeout.
            PeerRefusedError: The reply is a failure.
        """


class ConnectionHandler(abc.ABC):
    """Takes a peer's connection over after one request on it."""

    __slots__ = ()

    @abc.abstractmethod
    async def serve(
        self,
        request: codec.Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves the connection until it has ended."""


class PeerHandlers:
    """This instance's request handlers, one per message type."""

    __slots__ = ("_handlers",)

    def __init__(self):
        self._handlers: dict[type, Handler] = {}

    def register(self, message_type: type, handler: Handler) -> None:
        """Registers the handler for requests of a type.

        Raises:
            ValueError: The type has a handler already.
        """
        if message_type in self._handlers:
            raise ValueError(
                f"message_type {message_type.__name__} has a handler already"
            )
        self._handlers[message_type] = handler

    def handler_for(self, message: Message) -> Handler | None:
        """Returns the handler for a request, if there is one."""
        return self._handlers.get(type(message))
