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
_MAX_REQUESTS_PER_S = 25
_MIN_PAUSE = datetime.timedelta(seconds=1)
# One instance may take this part of what is ready, so that the first to ask
# leaves something for the others.
_MAX_PART_PER_GRANT = 0.5
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionAllowance:
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
    def available(self) -> int:
        """Answers that may still be granted."""
        return max(0, self.reserved - self.granted)


class AllowanceKeeper:
    """Grants leave from what the controller reserved in the row first.

    Reserving before granting is what keeps the bound over a change of holder:
    a holder that dies, or is paused and wakes, never granted more than the
    row says, and its successor counts all of that as sent.
    """

    __slots__ = ("_allowances", "_lease", "_members", "_token")

    def __init__(
        self,
        *,
        lease: lease_module.Lease,
        members: members_module.MemberView,
    ):
        self._lease = lease
        self._members = members
        self._token: int | None = None
        self._allowances: dict[pool_module.VersionKey, VersionAllowance] = {}

    def register(self, handlers: peers.PeerHandlers) -> None:
        """Answers instances that ask for leave."""
        handlers.register(ttypes.ExposureTake, self._handle)

    def counts(self, key: pool_module.VersionKey) -> VersionAllowance | None:
        """Returns the counts of a version under the present holder."""
        return self._allowances.get(key)

    def begin(self, token: int) -> None:
        """Starts counting anew where the lease is held anew."""
        if token != self._token:
            self._allowances.clear()
            self._token = token

    def publish(self, pool: pool_module.Pool) -> None:
        """Takes over what the row says may be granted."""
        rolling = {
            watch.key: watch
            for watch in pool.watches
            if watch.rolling_out and watch.verdict is pool_module.Verdict.OPEN
        }
        for key in self._allowances.keys() - rolling.keys():
            del self._allowances[key]
        for key, watch in rolling.items():
            self._publish(key, watch)

    def _publish(
        self, key: pool_module.VersionKey, watch: pool_module.Watch
    ) -> None:
        allowance = self._allowances.get(key)
        if allowance is None or allowance.rollout_id != watch.rollout_id:
            allowance = VersionAllowance(rollout_id=watch.rollout_id)
            self._allowances[key] = allowance
        allowance.reserved = watch.reserved_by_holder

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
        allowance = self._allowances.get(key)
        if allowance is None:
            return self._empty_grant(rollout_id=0)
        if take.unused and take.rollout_id == allowance.rollout_id:
            allowance.unused += max(0, take.unused)
        answers = min(max(0, take.answers), _max_grant(allowance.available))
        if not answers:
            return self._empty_grant(rollout_id=allowance.rollout_id)
        allowance.granted += answers
        return ttypes.ExposureGrant(
            answers=answers,
            valid_ms=GRANT_VALID // _MILLISECOND,
            rollout_id=allowance.rollout_id,
        )

    def _empty_grant(self, *, rollout_id: int) -> ttypes.ExposureGrant:
        """Returns a grant of nothing, valid until it is worth asking again."""
        instances = len(self._members.members())
        pause = max(
            _MIN_PAUSE,
            datetime.timedelta(seconds=instances / _MAX_REQUESTS_PER_S),
        )
        return ttypes.ExposureGrant(
            answers=0, valid_ms=pause // _MILLISECOND, rollout_id=rollout_id
        )


def _max_grant(available: int) -> int:
    return max(int(available * _MAX_PART_PER_GRANT), min(available, 1))
