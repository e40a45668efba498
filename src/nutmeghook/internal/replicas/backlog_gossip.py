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
TELL_EVERY = datetime.timedelta(milliseconds=200)
# Near instances use the same replicas most, since distance counts as time.
NEAR_TOLD = 7
FAR_TOLD = 1.0
MOST_REPLICAS = 16
_MILLISECOND = datetime.timedelta(milliseconds=1)


class BacklogGossip(gossip_senders.MessageGossipSender):
    """Sends this instance's backlogs and takes in those of its peers.

    Args:
        audience: Returns where peers listen that are to be told this time.
    """

    __slots__ = (
        "_audience",
        "_directory",
        "_instance_id",
        "_told_any",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        directory: directory_module.ReplicaDirectory,
        audience: Callable[[], list[str]],
        **telling_parts,
    ):
        super().__init__(
            period=TELL_EVERY,
            message_type=ttypes.ReplicaBacklogs,
            **telling_parts,
        )
        self._instance_id = instance_id
        self._directory = directory
        self._audience = audience
        self._told_any = False

    def send_update(self) -> None:
        """Tells peers what this instance has under way, if anything.

        Once nothing is, they are told once more; whoever misses that counts
        the last message until it is too old.
        """
        loaded = self._directory.with_own_backlog(MOST_REPLICAS)
        if not loaded and not self._told_any:
            return
        self._told_any = bool(loaded)
        message = ttypes.ReplicaBacklogs(
            sender_id=self._instance_id,
            replica_hashes=[r.short_id for r in loaded],
            urgent_ms=[_milliseconds(r.own_backlog.urgent) for r in loaded],
            later_ms=[_milliseconds(r.own_backlog.later) for r in loaded],
        )
        self._messages.send(self._audience(), message)

    def _receive(self, message: ttypes.ReplicaBacklogs) -> None:
        heard = {}
        for short_id, urgent_ms, later_ms in zip(
            message.replica_hashes,
            message.urgent_ms,
            message.later_ms,
            strict=False,
        ):
            heard[short_id] = backlog_module.Backlog(
                urgent=max(0, urgent_ms) * _MILLISECOND,
                later=max(0, later_ms) * _MILLISECOND,
            )
        self._directory.peer_backlogs.note(message.sender_id, heard)


def _milliseconds(duration: datetime.timedelta) -> int:
    return round(duration / _MILLISECOND)
