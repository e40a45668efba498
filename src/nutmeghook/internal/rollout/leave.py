"""The lease holder's side of exposure: hands out the leave made ready."""

import dataclasses
import datetime

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.membership import members as members_module
from nutmeghook.internal.rollout import pool as pool_module

GRANT_VALID = datetime.timedelta(seconds=60)
# Instances that get nothing ask again after a pause that grows with their
# number, so that the holder hears no more questions a second than this.
_QUESTIONS_PER_S = 25
_SHORTEST_PAUSE = datetime.timedelta(seconds=1)
# One instance may take this part of what is ready, so that the first to ask
# leaves something for the others.
_PART_OF_READY = 0.5
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionLeave:
    """Leave of one version's roll-out, counted over one holder's time.

    Attributes:
        reserved: Answers that the row says this holder may grant.
        granted: Answers granted of them.
        unused: Answers that instances gave back.
    """

    rollout_id: int
    reserved: int = 0
    granted: int = 0
    unused: int = 0

    @property
    def ready(self) -> int:
        """Answers that may still be granted."""
        return max(0, self.reserved - self.granted)


class LeaveKeeper:
    """Grants leave from what the controller reserved in the row first.

    Reserving before granting is what keeps the bound over a change of holder:
    a holder that dies, or is paused and wakes, never granted more than the
    row says, and its successor counts all of that as sent.
    """

    __slots__ = ("_lease", "_leaves", "_members", "_token")

    def __init__(
        self,
        *,
        lease: lease_module.Lease,
        members: members_module.MemberView,
    ):
        self._lease = lease
        self._members = members
        self._token: int | None = None
        self._leaves: dict[pool_module.VersionKey, VersionLeave] = {}

    def register(self, handlers: peers.PeerHandlers) -> None:
        """Answers instances that ask for leave."""
        handlers.register(ttypes.ExposureTake, self._handle)

    def counts(self, key: pool_module.VersionKey) -> VersionLeave | None:
        """Returns the counts of a version under the present holder."""
        return self._leaves.get(key)

    def begin(self, token: int) -> None:
        """Starts counting anew where the lease is held anew."""
        if token != self._token:
            self._leaves.clear()
            self._token = token

    def publish(self, pool: pool_module.Pool) -> None:
        """Takes over what the row says may be granted."""
        rolling = {
            watch.key: watch
            for watch in pool.watches
            if watch.rolling_out and watch.verdict is pool_module.Verdict.OPEN
        }
        for key in self._leaves.keys() - rolling.keys():
            del self._leaves[key]
        for key, watch in rolling.items():
            self._publish(key, watch)

    def _publish(
        self, key: pool_module.VersionKey, watch: pool_module.Watch
    ) -> None:
        leave = self._leaves.get(key)
        if leave is None or leave.rollout_id != watch.rollout_id:
            leave = VersionLeave(rollout_id=watch.rollout_id)
            self._leaves[key] = leave
        leave.reserved = watch.reserved_by_holder

    async def _handle(self, take: ttypes.ExposureTake) -> ttypes.ExposureGrant:
        if self._lease.fencing_token() != self._token or self._token is None:
            raise errors.CodedError(
                code=codes.Code.NOT_FOUND,
                detail="this instance doesn't hold the roll-outs' lease",
            )
        key = pool_module.VersionKey(
            team=take.team,
            template=take.template_name,
            model_version=engine.ModelVersion.parse(take.model_version),
        )
        leave = self._leaves.get(key)
        if leave is None:
            return self._nothing(rollout_id=0)
        if take.unused and take.rollout_id == leave.rollout_id:
            leave.unused += max(0, take.unused)
        answers = min(max(0, take.answers), _fair_part(leave.ready))
        if not answers:
            return self._nothing(rollout_id=leave.rollout_id)
        leave.granted += answers
        return ttypes.ExposureGrant(
            answers=answers,
            valid_ms=GRANT_VALID // _MILLISECOND,
            rollout_id=leave.rollout_id,
        )

    def _nothing(self, *, rollout_id: int) -> ttypes.ExposureGrant:
        """Returns a grant of nothing, valid until it is worth asking again."""
        instances = len(self._members.members())
        pause = max(
            _SHORTEST_PAUSE,
            datetime.timedelta(seconds=instances / _QUESTIONS_PER_S),
        )
        return ttypes.ExposureGrant(
            answers=0, valid_ms=pause // _MILLISECOND, rollout_id=rollout_id
        )


def _fair_part(ready: int) -> int:
    return max(int(ready * _PART_OF_READY), min(ready, 1))
