"""Messages to peers that may be lost, as an interface."""

import abc
from collections.abc import Callable
from typing import Any

Handler = Callable[[Any], None]


class Messages(abc.ABC):
    """Sends messages, and hands over those that arrive."""

    __slots__ = ()

    @abc.abstractmethod
    def register(self, message_type: type, handler: Handler) -> None:
        """Has messages of a type given to a handler."""

    @abc.abstractmethod
    def send(self, inner_addresses: list[str], message: Any) -> None:
        """Sends one message to several instances."""
