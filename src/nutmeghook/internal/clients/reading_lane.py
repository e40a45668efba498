"""Takes turns among connections whose bytes are much work for little."""

import abc
import asyncio
import collections


class LaneMember(abc.ABC):
    """A connection that can be kept from reading."""

    __slots__ = ()

    @abc.abstractmethod
    def suspend_reading(self) -> None:
        """Reads nothing until `continue_reading`."""

    @abc.abstractmethod
    def continue_reading(self) -> None:
        """Reads the next slice."""


class ReadingLane:
    """Lets one of its connections read in each turn of the event loop.

    So the work of all of them together is that of one slice a turn, however
    many there are.
    """

    __slots__ = ("_loop", "_members")

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._members: collections.deque[LaneMember] = collections.deque()

    def add(self, member: LaneMember) -> None:
        """Suspends a connection until its turn has come."""
        member.suspend_reading()
        self._members.append(member)
        if len(self._members) == 1:
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._members.popleft().continue_reading()
        if self._members:
            self._loop.call_soon(self._step)
