"""The durations of membership, in one place because they depend on another."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Timing:
    """Durations; tests with real processes shorten them.

    Attributes:
        probe_period: Each instance probes one other in each.
        direct_timeout: How long a probe's ack may take; above the round trip
            between regions.
        indirect_timeout: The same by way of a helper.
        confirmations: Rounds without any ack before a suspect is declared
            dead. Their sum is the longest freeze that costs nothing.
        list_period: Between readings of the instance list by a reader.
        discovery_period: Between a reader's probes of listed instances that are
            believed dead or were never heard of.
        settle: How long rumours of a change take to reach everyone; other
            instances' different members mean nothing meanwhile.
        sync_period: Between exchanges of whole tables, at most.
        fast_sync_period: The same after an exchange that taught something.
        dead_retention: How long a dead member is remembered, so that old news
            do not revive it and a healed cut finds it.
        introduction: How long after its start an instance says where it is.
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
        """How long one round takes: two direct probes, an indirect one."""
        return 2 * self.direct_timeout + self.indirect_timeout

    @property
    def suspicion(self) -> datetime.timedelta:
        """How long a silent member is suspected before it is dead."""
        return self.round_timeout * self.confirmations
