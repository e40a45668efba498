"""Tells peers something over and over, at times that spread."""

import abc
import datetime
import random
from typing import Any

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import sealed_messages

# Around the period, so that instances which started together do not send
# together.
_MIN_JITTER = 0.75
_MAX_JITTER = 1.25


class GossipSender(abc.ABC):
    """Tells peers something."""

    __slots__ = ()

    @abc.abstractmethod
    async def run(self) -> None:
        """Tells peers until cancelled."""


class PeriodicGossipSender(GossipSender):
    """Tells peers until cancelled, over and over.

    Args:
        period: Between two tells, on average.
    """

    __slots__ = ("_clock", "_period", "_random")

    def __init__(
        self,
        *,
        period: datetime.timedelta,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._period = period
        self._clock = clock
        self._random = random_source

    @abc.abstractmethod
    def send_update(self) -> None:
        """Tells peers what there is to tell now."""

    async def run(self) -> None:
        """Tells peers until cancelled."""
        while True:
            jitter = self._random.uniform(_MIN_JITTER, _MAX_JITTER)
            await self._clock.sleep(jitter * self._period)
            self.send_update()


class MessageGossipSender(PeriodicGossipSender):
    """Tells peers by messages of one kind, and takes in theirs.

    Args:
        message_type: The kind of message that is told and taken in.
    """

    __slots__ = ("_messages",)

    def __init__(
        self,
        *,
        message_type: type,
        messages: sealed_messages.SealedMessages,
        **timing,
    ):
        super().__init__(**timing)
        self._messages = messages
        messages.register(message_type, self._receive)

    @abc.abstractmethod
    def _receive(self, message: Any) -> None:
        """Takes in what a peer tells."""
