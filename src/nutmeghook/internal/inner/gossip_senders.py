"""Periodic gossip to peers, with jitter."""

import abc
import asyncio
from collections.abc import Callable
import datetime
import random
from typing import Any

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import messages as messages_module
from nutmeghook.internal.inner import sealed_messages

# As shares of the period, so that instances that started together do not send
# at the same moments.
_MIN_JITTER = 0.75
_MAX_JITTER = 1.25


class GossipSender(abc.ABC):
    """Sends state to peers."""

    __slots__ = ()

    @abc.abstractmethod
    async def run(self) -> None:
        """Sends until cancelled."""


class PeriodicGossipSender(GossipSender):
    """Sends state to peers periodically.

    Args:
        period: Mean time between two updates.
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
        """Sends the current state to peers."""

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            jitter = self._random.uniform(_MIN_JITTER, _MAX_JITTER)
            await self._clock.sleep(jitter * self._period)
            self.send_update()


class MessageGossipSender(PeriodicGossipSender):
    """Sends messages of one type to peers and handles theirs.

    Args:
        message_type: The type of message that is sent and received.
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
        """Handles a peer's message."""


class UpdateGossipSender(GossipSender):
    """Sends updates to many peers at once, and reminders to a few.

    A datagram may be lost, and an instance may have been started, suspended or
    partitioned meanwhile; so what still holds is sent again periodically.

    Args:
        updates: Set while there are updates to send.
        period: Mean time between two reminders.
        sample_peers: Returns the addresses of some peers: `local` ones in the
            own data centre and on average `remote` others.
    """

    __slots__ = (
        "_clock",
        "_messages",
        "_period",
        "_random",
        "_sample_peers",
        "_updates",
    )

    def __init__(
        self,
        *,
        updates: asyncio.Event,
        period: datetime.timedelta,
        messages: messages_module.Messages,
        sample_peers: Callable[..., list[str]],
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._updates = updates
        self._period = period
        self._messages = messages
        self._sample_peers = sample_peers
        self._clock = clock
        self._random = random_source

    @abc.abstractmethod
    def send_updates(self) -> None:
        """Sends the pending updates to many peers, until none is left."""

    @abc.abstractmethod
    def send_reminder(self) -> None:
        """Sends what still holds to one or two peers again."""

    async def run(self) -> None:
        """Sends until cancelled; reminders also while there are updates."""
        reminder_at = self._next_reminder_at()
        while True:
            left = reminder_at - self._clock.monotonic()
            try:
                await self._clock.wait_for(
                    self._updates.wait(), max(datetime.timedelta(), left)
                )
            except TimeoutError:
                pass
            else:
                self.send_updates()
            if self._clock.monotonic() >= reminder_at:
                self.send_reminder()
                reminder_at = self._next_reminder_at()

    def _next_reminder_at(self) -> datetime.timedelta:
        jitter = self._random.uniform(_MIN_JITTER, _MAX_JITTER)
        return self._clock.monotonic() + jitter * self._period
