"""Tells near instances what replicas said of their load.

A replica's own count of its requests comes with its answers only, and an
instance of a large fleet hears each replica seldom. Together the instances hear
every replica many times a second. So each tells a few others the counts that it
learnt last, from replicas and from peers.

Only instances of one data centre tell each other: they send to the same
replicas, and bytes between data centres are dear.
"""

from collections.abc import Callable
import datetime

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module

# A count passes through a data centre in three such steps, within the time in
# which a replica's queue changes.
TELL_EVERY = datetime.timedelta(milliseconds=250)
PEERS_TOLD = 3
MOST_COUNTS = 16
# Older counts say nothing of a replica's load now.
OLDEST_TOLD = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ReplicaLoadGossip(gossip_senders.MessageGossipSender):
    """Sends and takes in counts of replicas' requests."""

    __slots__ = (
        "_directory",
        "_local_addresses",
    )

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        local_addresses: Callable[[], list[str]],
        **telling_parts,
    ):
        super().__init__(
            period=TELL_EVERY,
            message_type=ttypes.ReplicaLoads,
            **telling_parts,
        )
        self._directory = directory
        self._local_addresses = local_addresses

    def send_update(self) -> None:
        """Tells a few peers the counts that were learnt last."""
        near = self._local_addresses()
        told = self._directory.last_reported(MOST_COUNTS, age=OLDEST_TOLD)
        if not near or not told:
            return
        now = self._clock.monotonic()
        message = ttypes.ReplicaLoads(
            replica_hashes=[r.short_id for r in told],
            running=[r.report.running for r in told],
            waiting=[r.report.waiting for r in told],
            ages_ms=[round((now - r.report.at) / _MILLISECOND) for r in told],
        )
        chosen = self._random.sample(near, min(PEERS_TOLD, len(near)))
        self._messages.send(chosen, message)

    def _receive(self, message: ttypes.ReplicaLoads) -> None:
        now = self._clock.monotonic()
        for short_id, running, waiting, age_ms in zip(
            message.replica_hashes,
            message.running,
            message.waiting,
            message.ages_ms,
            strict=False,
        ):
            if min(running, waiting, age_ms) < 0:
                continue
            self._directory.note_load_heard(
                short_id,
                replica_module.LoadReport(
                    running=running,
                    waiting=waiting,
                    at=now - age_ms * _MILLISECOND,
                ),
            )
