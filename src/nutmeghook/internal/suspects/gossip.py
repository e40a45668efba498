"""Tells all instances under which requests replicas have ended.

Copies of a request come to any instance within milliseconds, and each sees
some of the ends, so what counts is what all have seen. News goes to many peers
at once, by everyone whom it reaches. A datagram may be lost, and an instance
may have been started, frozen or cut off meanwhile; so the gravest suspicions
are told again for as long as they last.
"""

from collections.abc import Callable
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import identities
from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner import messages as messages_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.suspects import book as book_module

# Each instance reminds two others as often as this, so that one that comes back
# hears some four reminders in a second.
REPEAT_EVERY = datetime.timedelta(milliseconds=500)
NEAR_TOLD = 8
FAR_TOLD = 1.0
NEAR_REMINDED = 1
FAR_REMINDED = 1.0
# One takes 30 to 120 bytes, and a datagram should fit into one packet.
MOST_TOLD = 9
# What one replica has ended under is the less worth telling the older it is:
# its caller has long tried again.
_SINGLE_TOLD_FOR = datetime.timedelta(seconds=10)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class SuspectGossip(gossip_senders.GossipSender):
    """Sends and takes in suspicions.

    Args:
        audience: Returns where some peers listen: many near ones, and on
            average so many others.
    """

    __slots__ = ("_audience", "_book", "_clock", "_messages", "_random")

    def __init__(
        self,
        *,
        book: book_module.SuspectBook,
        messages: messages_module.Messages,
        audience: Callable[..., list[str]],
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        self._book = book
        self._messages = messages
        self._audience = audience
        self._clock = clock
        self._random = random_source
        messages.register(ttypes.CrashSuspects, self._receive)

    async def run(self) -> None:
        """Tells news at once and reminds from time to time until cancelled."""
        while True:
            pause = REPEAT_EVERY * self._random.uniform(0.75, 1.25)
            try:
                await self._clock.wait_for(self._book.news.wait(), pause)
            except TimeoutError:
                self.remind()
            else:
                self.tell_news()

    def tell_news(self) -> None:
        """Tells many peers what has just been learnt."""
        while news := self._book.take_news(MOST_TOLD):
            self._send(news, local=NEAR_TOLD, remote=FAR_TOLD)

    def remind(self) -> None:
        """Tells a peer or two of the gravest suspicions again."""
        grave = self._book.grave(MOST_TOLD, age=_SINGLE_TOLD_FOR)
        if grave:
            self._send(grave, local=NEAR_REMINDED, remote=FAR_REMINDED)

    def _send(
        self, told: list[book_module.Suspicion], *, local: int, remote: float
    ) -> None:
        now = self._clock.monotonic()
        message = ttypes.CrashSuspects(
            suspects=[_encoded(suspicion, now) for suspicion in told]
        )
        self._messages.send(self._audience(local=local, remote=remote), message)

    def _receive(self, message: ttypes.CrashSuspects) -> None:
        now = self._clock.monotonic()
        for told in message.suspects:
            if len(told.identity) == identities.IDENTITY_BYTES:
                self._book.merge(_decoded(told, now))


def _encoded(
    suspicion: book_module.Suspicion, now: datetime.timedelta
) -> ttypes.CrashSuspect:
    return ttypes.CrashSuspect(
        identity=suspicion.identity,
        replica_hashes=[end.replica_hash for end in suspicion.ends],
        begun=[end.begun for end in suspicion.ends],
        ages_ms=[_age_ms(end.at, now) for end in suspicion.ends],
        cleared_age_ms=_age_ms(suspicion.cleared_at, now),
        tried_age_ms=_age_ms(suspicion.tried_at, now),
    )


def _decoded(
    told: ttypes.CrashSuspect, now: datetime.timedelta
) -> book_module.Suspicion:
    return book_module.Suspicion(
        identity=told.identity,
        ends=tuple(
            book_module.ReplicaEnd(
                replica_hash=replica_hash,
                begun=begun,
                at=_moment(age_ms, now),
            )
            for replica_hash, begun, age_ms in zip(
                told.replica_hashes, told.begun, told.ages_ms, strict=False
            )
        ),
        cleared_at=_moment(told.cleared_age_ms, now),
        tried_at=_moment(told.tried_age_ms, now),
    )


def _age_ms(
    moment: datetime.timedelta | None, now: datetime.timedelta
) -> int | None:
    return None if moment is None else round((now - moment) / _MILLISECOND)


def _moment(
    age_ms: int | None, now: datetime.timedelta
) -> datetime.timedelta | None:
    return None if age_ms is None else now - max(0, age_ms) * _MILLISECOND
