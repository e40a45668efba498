"""The durations of membership, together because they are interdependent."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Timing:
    """Durations; tests with real processes shorten them.

    Attributes:
        probe_period: Each instance probes one other in each period.
        direct_timeout: How long a probe's ack may take; above the round trip
            between regions.
        indirect_timeout: The same through a helper.
        confirmations: Rounds without an ack before a suspect is declared
            dead. Their total is the longest freeze without a consequence.
        list_period: Between reads of the instance list by a reader.
        discovery_period: Between a reader's probes of addresses without a
            known running member.
        settle: How long rumours of a change take to reach all members; no sync
            is begun for a difference meanwhile.
        sync_period: Least time between syncs of whole tables.
        fast_sync_period: The same after a sync that brought anything new.
        dead_retention: How long a dead member is remembered, so that stale
            claims do not revive it and it is found again after a network cut.
        introduction: How long after its start an instance sends its region and
            data centre with each message.
    """

    probe_period: datetime.timedelta = datetime.timedelta(seconds=1)
    direct_timeout: datetime.timedelta = datetime.timedelta(milliseconds=400)
    indirect_timeout: datetime.timedelta = datetime.timedelta(milliseconds=800)
    confirmations: int = 3
    list_period: datetime.timedelta = datetime.timedelta(seconds=5)
    discovery_period: datetime.timedelta = datetime.timedelta(seconds=2)
    settle: datetime.timedelta = datetime.timedelta(seconds=5)
    sync_period: datetime.timedelta = datetime.timedelta(seconds=20)
    fast_sync_period: datetime.timedelta = datetime.timedelta(seconds=3)
    dead_retention: datetime.timedelta = datetime.timedelta(hours=2)
    introduction: datetime.timedelta = datetime.timedelta(seconds=60)

    @property
    def round_timeout(self) -> datetime.timedelta:
        """Duration of one round: two direct probes and an indirect one."""
        return 2 * self.direct_timeout + self.indirect_timeout

    @property
    def suspicion(self) -> datetime.timedelta:
        """How long a silent member is suspected before it is declared dead."""
        return self.round_timeout * self.confirmations
