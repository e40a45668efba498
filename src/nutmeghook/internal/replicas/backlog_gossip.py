"""Tells other instances which prompts replicas have still to read.

Engines read prompts one after the other, so the time to a first event depends
on what all instances have sent to a replica. What replicas tell of their load
comes too late to foresee it.

Each message holds all that the sender has under way, so a lost one is made
good by the next, and one of an instance that died is soon too old to count.
"""

from collections.abc import Callable
import datetime

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import directory as directory_module

# Prompts take some 0.1 to 2 s to read. Nothing is sent while there is nothing
# to tell.
GOSSIP_PERIOD = datetime.timedelta(milliseconds=200)
# Near instances use the same replicas most, since distance counts as time.
LOCAL_FANOUT = 7
REMOTE_FANOUT = 1.0
MAX_REPLICAS = 16
_MILLISECOND = datetime.timedelta(milliseconds=1)


class BacklogGossip(gossip_senders.MessageGossipSender):
    """Sends this instance's backlogs and takes in those of its peers.

    Args:
        audience: Returns where peers listen that are to be told this time.
    """

    __slots__ = (
        "_directory",
        "_had_backlog",
        "_instance_id",
        "_sample_peers",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        directory: directory_module.ReplicaDirectory,
        sample_peers: Callable[[], list[str]],
        **sender_arguments,
    ):
        super().__init__(
            period=GOSSIP_PERIOD,
            message_type=ttypes.ReplicaBacklogs,
            **sender_arguments,
        )
        self._instance_id = instance_id
        self._directory = directory
        self._sample_peers = sample_peers
        self._had_backlog = False

    def send_update(self) -> None:
        """Tells peers what this instance has under way, if anything.

        Once nothing is, they are told once more; whoever misses that counts
        the last message until it is too old.
        """
        loaded = self._directory.with_own_backlog(MAX_REPLICAS)
        if not loaded and not self._had_backlog:
            return
        self._had_backlog = bool(loaded)
        message = ttypes.ReplicaBacklogs(
            sender_id=self._instance_id,
            replica_hashes=[r.short_id for r in loaded],
            urgent_ms=[_milliseconds(r.own_backlog.urgent) for r in loaded],
            later_ms=[_milliseconds(r.own_backlog.normal) for r in loaded],
        )
        self._messages.send(self._sample_peers(), message)

    def _receive(self, message: ttypes.ReplicaBacklogs) -> None:
        backlogs = {}
        for short_id, urgent_ms, later_ms in zip(
            message.replica_hashes,
            message.urgent_ms,
            message.later_ms,
            strict=False,
        ):
            backlogs[short_id] = backlog_module.Backlog(
                urgent=max(0, urgent_ms) * _MILLISECOND,
                normal=max(0, later_ms) * _MILLISECOND,
            )
        self._directory.peer_backlogs.update(message.sender_id, backlogs)


def _milliseconds(duration: datetime.timedelta) -> int:
    return round(duration / _MILLISECOND)
