"""Gossips to all instances under which requests and parts replicas crashed.

Copies of a request come to any instance within milliseconds, and each instance
notices some of the crashes, so the evidence of all counts. Each instance sends
an update to many peers at once and forwards what it receives. A datagram may be
lost, and an instance may have been started, suspended or partitioned meanwhile;
so the most suspect requests are sent again for as long as they are suspects.
"""

import datetime

from nutmeghook.internal.foundation import identities
from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.suspects import evidence
from nutmeghook.internal.suspects import registry as registry_module

# Each instance sends reminders to two others in this period, so an instance
# that missed updates gets some four of them in a second.
REMINDER_PERIOD = datetime.timedelta(milliseconds=500)
LOCAL_FANOUT = 8
REMOTE_FANOUT = 1.0
LOCAL_REMINDER_FANOUT = 1
REMOTE_REMINDER_FANOUT = 1.0
# A suspicion takes 30 to 180 bytes, and a datagram should fit into one packet.
MAX_SUSPICIONS_SENT = 6
# Older suspicions with a single crash are not sent in reminders: their callers
# have retried since.
_SINGLE_CRASH_MAX_AGE = datetime.timedelta(seconds=10)
# In place of an age.
_NOT_KNOWN = -1
_MILLISECOND = datetime.timedelta(milliseconds=1)


class SuspectGossip(gossip_senders.UpdateGossipSender):
    """Sends and receives suspicions."""

    __slots__ = ("_registry",)

    def __init__(
        self, *, registry: registry_module.SuspectRegistry, **sender_arguments
    ):
        super().__init__(
            updates=registry.updates,
            period=REMINDER_PERIOD,
            **sender_arguments,
        )
        self._registry = registry
        self._messages.register(ttypes.CrashSuspects, self._receive)

    def send_updates(self) -> None:
        """Sends the pending updates to many peers."""
        while updates := self._registry.take_updates(MAX_SUSPICIONS_SENT):
            self._send(updates, local=LOCAL_FANOUT, remote=REMOTE_FANOUT)

    def send_reminder(self) -> None:
        """Sends the most suspect requests to one or two peers again."""
        most_suspect = self._registry.most_suspect(
            MAX_SUSPICIONS_SENT, age=_SINGLE_CRASH_MAX_AGE
        )
        if most_suspect:
            self._send(
                most_suspect,
                local=LOCAL_REMINDER_FANOUT,
                remote=REMOTE_REMINDER_FANOUT,
            )

    def _send(
        self,
        suspicions: list[evidence.Suspicion],
        *,
        local: int,
        remote: float,
    ) -> None:
        now = self._clock.monotonic()
        message = ttypes.CrashSuspects(
            suspects=[_encoded(suspicion, now) for suspicion in suspicions]
        )
        self._messages.send(
            self._sample_peers(local=local, remote=remote), message
        )

    def _receive(self, message: ttypes.CrashSuspects) -> None:
        now = self._clock.monotonic()
        for received in message.suspects:
            if len(received.identity) == identities.IDENTITY_BYTES:
                self._registry.merge(_decoded(received, now))


def _encoded(
    suspicion: evidence.Suspicion, now: datetime.timedelta
) -> ttypes.CrashSuspect:
    return ttypes.CrashSuspect(
        identity=suspicion.identity,
        replica_hashes=[crash.replica_hash for crash in suspicion.crashes],
        begun=[crash.begun for crash in suspicion.crashes],
        ages_ms=[_age_ms(crash.at, now) for crash in suspicion.crashes],
        cleared_age_ms=_age_ms(suspicion.cleared_at, now),
        tried_age_ms=_age_ms(suspicion.probed_at, now),
        is_part=suspicion.is_part or None,
        tries=suspicion.probes or None,
        request_hashes=list(suspicion.request_hashes) or None,
        sent_ages_ms=_sent_ages_ms(suspicion, now),
    )


def _sent_ages_ms(
    suspicion: evidence.Suspicion, now: datetime.timedelta
) -> list[int] | None:
    """Returns when the replicas were sent a suspect, if any is known."""
    ages_ms = [_age_ms(crash.sent_at, now) for crash in suspicion.crashes]
    if all(age is None for age in ages_ms):
        return None
    return [_NOT_KNOWN if age is None else age for age in ages_ms]


def _sent_at(age_ms: int, now: datetime.timedelta) -> datetime.timedelta | None:
    return None if age_ms == _NOT_KNOWN else _moment(age_ms, now)


def _decoded(
    received: ttypes.CrashSuspect, now: datetime.timedelta
) -> evidence.Suspicion:
    return evidence.Suspicion(
        identity=received.identity,
        is_part=bool(received.is_part),
        request_hashes=tuple(received.request_hashes or ()),
        crashes=tuple(
            evidence.ReplicaCrash(
                replica_hash=replica_hash,
                begun=begun,
                at=_moment(age_ms, now),
                sent_at=_sent_at(sent_ms, now),
            )
            for replica_hash, begun, age_ms, sent_ms in zip(
                received.replica_hashes,
                received.begun,
                received.ages_ms,
                received.sent_ages_ms
                or [_NOT_KNOWN] * len(received.replica_hashes),
                strict=False,
            )
        ),
        cleared_at=_moment(received.cleared_age_ms, now),
        probed_at=_moment(received.tried_age_ms, now),
        probes=_probes(received),
    )


def _probes(received: ttypes.CrashSuspect) -> int:
    """Returns how often it was probed; older releases tell only whether."""
    return received.tries or int(received.tried_age_ms is not None)


def _age_ms(
    moment: datetime.timedelta | None, now: datetime.timedelta
) -> int | None:
    return None if moment is None else round((now - moment) / _MILLISECOND)


def _moment(
    age_ms: int | None, now: datetime.timedelta
) -> datetime.timedelta | None:
    return None if age_ms is None else now - max(0, age_ms) * _MILLISECOND
