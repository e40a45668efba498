"""Gossips the estimated speeds of replicas among instances.

One instance of a large fleet gets less than one answer from a replica in ten
seconds, which says little of a replica that has just become slow. Together the
instances get some from every replica in a second.

Each message has the estimates with the latest answers, own ones and peers'. A
lost message is repaired by a later one, and a repeated one changes nothing.
"""

from collections.abc import Callable
import datetime

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import replica_speed
from nutmeghook.internal.replicas import speed_registry

GOSSIP_PERIOD = datetime.timedelta(milliseconds=500)
# Most instances that send to a replica are in its data centre.
LOCAL_FANOUT = 2
REMOTE_FANOUT = 0.25
MAX_REPLICAS = 8
_MILLISECOND = datetime.timedelta(milliseconds=1)
_CENTI = 100
_MAX_CENTILOG = int(replica_speed.MAX_LOG * _CENTI)


class SpeedGossip(gossip_senders.MessageGossipSender):
    """Sends and receives the estimated speeds of replicas.

    Args:
        sample_peers: Returns the addresses of the next message's recipients.
    """

    __slots__ = ("_registry", "_sample_peers")

    def __init__(
        self,
        *,
        registry: speed_registry.SpeedRegistry,
        sample_peers: Callable[[], list[str]],
        **sender_arguments,
    ):
        super().__init__(
            period=GOSSIP_PERIOD,
            message_type=ttypes.ReplicaSpeeds,
            **sender_arguments,
        )
        self._registry = registry
        self._sample_peers = sample_peers

    def send_update(self) -> None:
        """Sends the estimates with the latest answers to a few peers."""
        replicas = self._registry.latest(MAX_REPLICAS)
        if not replicas:
            return
        now = self._clock.monotonic()
        estimates = [replica.speed.estimate(now) for replica in replicas]
        message = ttypes.ReplicaSpeeds(
            replica_hashes=[replica.short_id for replica in replicas],
            slowness_centilog=[_centilog(e) for e in estimates],
            # Rounded down, so that an estimate that comes back has no greater
            # weight than when it was sent.
            weight_centi=[int(e.weight * _CENTI) for e in estimates],
            ages_ms=[
                round((now - e.answered_at) / _MILLISECOND) for e in estimates
            ],
        )
        self._messages.send(self._sample_peers(), message)

    def _receive(self, message: ttypes.ReplicaSpeeds) -> None:
        now = self._clock.monotonic()
        # A peer may omit any field, which is None then.
        for short_id, centilog, weight_centi, age_ms in zip(
            message.replica_hashes or (),
            message.slowness_centilog or (),
            message.weight_centi or (),
            message.ages_ms or (),
            strict=False,
        ):
            weight = weight_centi / _CENTI
            if (
                abs(centilog) > _MAX_CENTILOG
                or not 0 < weight <= replica_speed.MAX_WEIGHT
                or age_ms < 0
            ):
                continue
            self._registry.note_peer(
                short_id,
                replica_speed.SpeedEstimate(
                    log_ratio=centilog / _CENTI,
                    weight=weight,
                    answered_at=now - age_ms * _MILLISECOND,
                ),
            )


def _centilog(estimate: replica_speed.SpeedEstimate) -> int:
    rounded = round(estimate.log_ratio * _CENTI)
    return max(-_MAX_CENTILOG, min(_MAX_CENTILOG, rounded))
