"""The lease holder's grants of reserved exposure allowance."""

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
# Largest rate of requests to the holder from instances that got nothing; they
# ask again after a pause that grows with their number.
_MAX_REQUESTS_PER_S = 25
_MIN_PAUSE = datetime.timedelta(seconds=1)
# Largest part of the available allowance in one grant, so that the first
# instance to ask leaves some for the others.
_MAX_PART_PER_GRANT = 0.5
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True, kw_only=True)
class VersionAllowance:
    """Allowance of one version's roll-out, counted over one holder's term.

    Attributes:
        reserved: Answers that this holder may grant, as stored in the row.
        granted: Those that it has granted.
        unused: Granted answers that instances returned.
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
    """Grants allowance that the controller has reserved in the row before.

    Reserving before granting keeps the bound over a change of holder: a holder
    that dies or is paused has never granted more than the row says, and its
    successor counts all of that as sent.
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
        """Registers the handler of instances' requests for allowance."""
        handlers.register(ttypes.ExposureTake, self._handle)

    def counts(self, key: pool_module.VersionKey) -> VersionAllowance | None:
        """Returns the counts of a version under the present holder."""
        return self._allowances.get(key)

    def begin(self, token: int) -> None:
        """Resets the counts if the lease was acquired again."""
        if token != self._token:
            self._allowances.clear()
            self._token = token

    def publish(self, pool: pool_module.Pool) -> None:
        """Applies the reservations that the row now has."""
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
        """Returns a grant of 0 answers, valid until the next request is due."""
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
