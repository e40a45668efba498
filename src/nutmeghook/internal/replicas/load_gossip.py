"""Gossips load reports of replicas among the instances of a data centre.

A replica reports its load with its answers only, and one instance of a large
fleet gets an answer from each replica seldom. Together the instances get many
from every replica in a second. So each sends a few others the latest reports
that it has, from replicas and from peers.

The gossip stays within a data centre: its instances send to the same replicas,
and traffic between data centres is expensive.
"""

from collections.abc import Callable
import datetime
import itertools

from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module

# A report reaches a whole data centre in three rounds, before the replica's
# queue has changed much.
GOSSIP_PERIOD = datetime.timedelta(milliseconds=250)
FANOUT = 3
MAX_REPORTS = 16
# Older reports say nothing about the current load.
MAX_REPORT_AGE = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ReplicaLoadGossip(gossip_senders.MessageGossipSender):
    """Sends and receives load reports of replicas."""

    __slots__ = (
        "_directory",
        "_local_addresses",
    )

    def __init__(
        self,
        *,
        directory: directory_module.ReplicaDirectory,
        local_addresses: Callable[[], list[str]],
        **sender_arguments,
    ):
        super().__init__(
            period=GOSSIP_PERIOD,
            message_type=ttypes.ReplicaLoads,
            **sender_arguments,
        )
        self._directory = directory
        self._local_addresses = local_addresses

    def send_update(self) -> None:
        """Sends the latest load reports to a few peers."""
        local = self._local_addresses()
        reported = self._directory.recently_reported(
            MAX_REPORTS, age=MAX_REPORT_AGE
        )
        if not local or not reported:
            return
        now = self._clock.monotonic()
        message = ttypes.ReplicaLoads(
            replica_hashes=[r.short_id for r in reported],
            running=[r.report.running for r in reported],
            waiting=[r.report.waiting for r in reported],
            ages_ms=[
                round((now - r.report.at) / _MILLISECOND) for r in reported
            ],
            work_times_percent=_work_times(reported),
        )
        chosen = self._random.sample(local, min(FANOUT, len(local)))
        self._messages.send(chosen, message)

    def _receive(self, message: ttypes.ReplicaLoads) -> None:
        now = self._clock.monotonic()
        work_times = message.work_times_percent or itertools.repeat(0)
        for short_id, running, waiting, age_ms, work_time in zip(
            message.replica_hashes or (),
            message.running or (),
            message.waiting or (),
            message.ages_ms or (),
            work_times,
            strict=False,
        ):
            if min(running, waiting, age_ms) < 0:
                continue
            if max(running, waiting) > replica_module.MAX_REPORTED_REQUESTS:
                continue
            self._directory.note_peer_report(
                short_id,
                replica_module.LoadReport(
                    running=running,
                    waiting=waiting,
                    at=now - age_ms * _MILLISECOND,
                    work_time_percent=work_time if work_time > 0 else None,
                ),
            )


def _work_times(
    reported: list[replica_module.Replica],
) -> list[int] | None:
    """Returns the work times in per cent; None if no replica states one."""
    work_times = [replica.report.work_time_percent for replica in reported]
    if not any(work_times):
        return None
    return [round(time or 0) for time in work_times]
