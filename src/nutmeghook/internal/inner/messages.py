"""Interface of one-way messages to peers, which may be lost."""

import abc
from collections.abc import Callable
from typing import Any

Handler = Callable[[Any], None]


class Messages(abc.ABC):
    """Sends messages and dispatches received ones."""

    __slots__ = ()

    @abc.abstractmethod
    def register(self, message_type: type, handler: Handler) -> None:
        """Registers the handler for messages of a type."""

    @abc.abstractmethod
    def send(self, inner_addresses: list[str], message: Any) -> None:
        """Sends one message to several instances."""
