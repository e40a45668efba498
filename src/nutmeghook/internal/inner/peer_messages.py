"""One-way messages to peers on the persistent connections."""

import asyncio
import datetime
from typing import Any

from nutmeghook.internal.inner import messages
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes

# Messages are repeated by their senders; one that takes longer is dropped.
_SEND_TIMEOUT = datetime.timedelta(seconds=1)


class PeerMessages(messages.Messages):
    """Sends each message as a call with an empty reply."""

    __slots__ = ("_caller", "_handlers", "_sends")

    def __init__(
        self, *, caller: peers.PeerCaller, handlers: peers.PeerHandlers
    ):
        self._caller = caller
        self._handlers = handlers
        self._sends: set[asyncio.Task[None]] = set()

    def register(self, message_type: type, handler: messages.Handler) -> None:
        """Registers the handler for messages of a type."""

        async def handle(message: Any) -> ttypes.Empty:
            handler(message)
            return ttypes.Empty()

        self._handlers.register(message_type, handle)

    def send(self, inner_addresses: list[str], message: Any) -> None:
        """Sends one message to several instances."""
        for inner_address in inner_addresses:
            task = asyncio.create_task(self._send_one(inner_address, message))
            self._sends.add(task)
            task.add_done_callback(self._sends.discard)

    async def _send_one(self, inner_address: str, message: Any) -> None:
        try:
            await self._caller.call(
                inner_address, message, timeout=_SEND_TIMEOUT
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError):
            # The peer gets the state by a later message, from others too.
            return
