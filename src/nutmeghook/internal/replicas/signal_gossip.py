"""Gossips to all instances which replicas state a rate limit, or leave.

Both concern all instances, but only those that send to a replica hear of it. A
replica that leaves, and a limit that begins, ends or falls by half, are sent to
many peers at once, and each instance forwards them. All are sent again
periodically, since a datagram may be lost, and an instance may have been
started, suspended or partitioned meanwhile.
"""

import datetime

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import rate_limit
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import signal_registry

REMINDER_PERIOD = datetime.timedelta(milliseconds=500)
LOCAL_FANOUT = 8
REMOTE_FANOUT = 1.0
LOCAL_REMINDER_FANOUT = 1
REMOTE_REMINDER_FANOUT = 1.0
# Each takes some 10 bytes, and a datagram should fit into one packet.
MAX_REPLICAS_SENT = 64
_MILLISECOND = datetime.timedelta(milliseconds=1)
_MILLI = 1000


class SignalGossip(gossip_senders.UpdateGossipSender):
    """Sends and receives statements of replicas."""

    __slots__ = ("_registry",)

    def __init__(
        self, *, registry: signal_registry.SignalRegistry, **sender_arguments
    ):
        super().__init__(
            updates=registry.updates,
            period=REMINDER_PERIOD,
            **sender_arguments,
        )
        self._registry = registry
        self._messages.register(ttypes.ReplicaRateLimits, self._receive_limits)
        self._messages.register(ttypes.LeavingReplicas, self._receive_leaving)

    def send_updates(self) -> None:
        """Sends the pending changes to many peers."""
        while changed := self._registry.take_updates(MAX_REPLICAS_SENT):
            self._send(changed, local=LOCAL_FANOUT, remote=REMOTE_FANOUT)

    def send_reminder(self) -> None:
        """Sends the latest statements to one or two peers again."""
        stated = self._registry.latest(MAX_REPLICAS_SENT)
        if stated:
            self._send(
                stated,
                local=LOCAL_REMINDER_FANOUT,
                remote=REMOTE_REMINDER_FANOUT,
            )

    def _send(
        self,
        replicas: list[replica_module.Replica],
        *,
        local: int,
        remote: float,
    ) -> None:
        peers = self._sample_peers(local=local, remote=remote)
        limited = [r for r in replicas if r.rate_limit is not None]
        leaving = [r for r in replicas if r.said_leaving_at is not None]
        if limited:
            self._messages.send(peers, self._limits_message(limited))
        if leaving:
            self._messages.send(peers, self._leaving_message(leaving))

    def _limits_message(
        self, replicas: list[replica_module.Replica]
    ) -> ttypes.ReplicaRateLimits:
        limits = [replica.rate_limit for replica in replicas]
        return ttypes.ReplicaRateLimits(
            replica_hashes=[replica.short_id for replica in replicas],
            limits_milli_per_s=[_milli(limit.per_s) for limit in limits],
            ages_ms=[self._age_ms(limit.heard_at) for limit in limits],
        )

    def _leaving_message(
        self, replicas: list[replica_module.Replica]
    ) -> ttypes.LeavingReplicas:
        return ttypes.LeavingReplicas(
            replica_hashes=[replica.short_id for replica in replicas],
            ages_ms=[self._age_ms(r.said_leaving_at) for r in replicas],
        )

    def _age_ms(self, heard_at: datetime.timedelta) -> int:
        return round((self._clock.monotonic() - heard_at) / _MILLISECOND)

    def _receive_leaving(self, message: ttypes.LeavingReplicas) -> None:
        now = self._clock.monotonic()
        for short_id, age_ms in zip(
            message.replica_hashes or (), message.ages_ms or (), strict=False
        ):
            if age_ms >= 0:
                self._registry.note_peer_leaving(
                    short_id, now - age_ms * _MILLISECOND
                )

    def _receive_limits(self, message: ttypes.ReplicaRateLimits) -> None:
        now = self._clock.monotonic()
        for short_id, milli_per_s, age_ms in zip(
            message.replica_hashes or (),
            message.limits_milli_per_s or (),
            message.ages_ms or (),
            strict=False,
        ):
            if min(milli_per_s, age_ms) < 0:
                continue
            self._registry.note_peer(
                short_id,
                rate_limit.RateLimit(
                    per_s=milli_per_s / _MILLI if milli_per_s else None,
                    heard_at=now - age_ms * _MILLISECOND,
                ),
            )


def _milli(per_s: float | None) -> int:
    """Returns a limit in thousandths, at least one; 0 for none."""
    return 0 if per_s is None else max(1, round(per_s * _MILLI))
