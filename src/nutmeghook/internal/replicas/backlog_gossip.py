"""Gossips the backlogs of replicas among instances.

Engines process prompts one after the other, so the time to first token depends
on what all instances have sent to a replica. Replicas' own load reports come
too late to predict it.

Each message holds the sender's whole state: a lost message is repaired by the
next one, and the last message of an instance that died expires.
"""

from collections.abc import Callable
import datetime

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import backlog as backlog_module
from nutmeghook.internal.replicas import directory as directory_module

# Prefill takes some 0.1 to 2 s. Nothing is sent while there is no backlog.
GOSSIP_PERIOD = datetime.timedelta(milliseconds=200)
# Peers that get each message. Most are in the own data centre: they use the
# same replicas most, since the choice of a replica penalises remote ones.
LOCAL_FANOUT = 7
REMOTE_FANOUT = 1.0
MAX_REPLICAS = 16
_MILLISECOND = datetime.timedelta(milliseconds=1)
_MAX_I32 = 2**31 - 1


class BacklogGossip(gossip_senders.MessageGossipSender):
    """Sends this instance's backlogs and receives those of its peers.

    Args:
        sample_peers: Returns the addresses of the next message's recipients.
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
        """Sends peers this instance's backlogs, if there are any.

        When the last one has ended, one empty message follows; a peer that
        misses it counts the previous message until that expires.
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
            message.replica_hashes or (),
            message.urgent_ms or (),
            message.later_ms or (),
            strict=False,
        ):
            backlogs[short_id] = backlog_module.Backlog(
                urgent=max(0, urgent_ms) * _MILLISECOND,
                normal=max(0, later_ms) * _MILLISECOND,
            )
        self._directory.peer_backlogs.update(message.sender_id, backlogs)


def _milliseconds(duration: datetime.timedelta) -> int:
    return min(round(duration / _MILLISECOND), _MAX_I32)
