"""Configuration changes by the roll-out controller."""

import abc
import datetime
import enum

import msgspec

from nutmeghook.internal.config import acceptance
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import rows
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.leases import lease as lease_module
from nutmeghook.internal.rollout import pool as pool_module

AUTHOR_NAME = "roll-out controller"
_EDIT_TIMEOUT = datetime.timedelta(seconds=3)


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a version's share; it is idempotent.

    Attributes:
        rollout_id: `Watch.rollout_id` that the step belongs to.
        share_percent: The share to serve; 0 withdraws the version.
        reason: Shown to operators beside the change.
    """

    key: pool_module.VersionKey
    rollout_id: int
    share_percent: float
    reason: str

    @property
    def withdraws(self) -> bool:
        """Whether the step withdraws the version."""
        return self.share_percent == 0


class StepOutcome(enum.Enum):
    """Outcome of a step."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNSETTLED = "unsettled"


class ConfigEditor(abc.ABC):
    """Applies steps to the configuration."""

    @abc.abstractmethod
    async def apply(self, step: Step) -> StepOutcome:
        """Applies a step, on condition that the lease is still held.

        Repeating a step whose outcome is `UNSETTLED` settles it.
        """


class AccepterEditor(ConfigEditor):
    """Applies steps through the same acceptance as operators' changes.

    The change is conditional on the lease's row. The commit of a holder that
    was paused after its decision fails, since its successor has changed that
    row; otherwise it could roll out a version that others have withdrawn.
    """

    __slots__ = ("_accepter", "_attempts", "_lease")

    def __init__(
        self, *, accepter: acceptance.Accepter, lease: lease_module.Lease
    ):
        self._accepter = accepter
        self._lease = lease
        # A refusal is final for its operation id; the next try needs another.
        self._attempts: dict[pool_module.VersionKey, int] = {}

    async def apply(self, step: Step) -> StepOutcome:
        """Applies a step, on condition that the lease is still held."""
        token = self._lease.fencing_token()
        if token is None:
            return StepOutcome.UNSETTLED
        try:
            record = await self._accepter.accept(
                self._operation(step, token), timeout=_EDIT_TIMEOUT
            )
        except errors.CodedError as error:
            if error.code is codes.Code.OPERATION_REUSED:
                raise
            return StepOutcome.UNSETTLED
        if record.outcome is rows.Outcome.ACCEPTED:
            self._attempts.pop(step.key, None)
            return StepOutcome.ACCEPTED
        self._attempts[step.key] = self._attempts.get(step.key, 0) + 1
        return StepOutcome.REFUSED

    def _operation(self, step: Step, token: int) -> operations.Operation:
        attempt = self._attempts.get(step.key, 0)
        return operations.Operation(
            operation_id=(
                f"rollout-{step.rollout_id}-{step.key.template}"
                f"-{step.key.model_version}-{step.share_percent:g}"
                f"-{token}-{attempt}"
            ),
            author=rows.Author(team=step.key.team, name=AUTHOR_NAME),
            reason=step.reason,
            edit=_edit(step),
            fence=self._lease,
        )


def _edit(step: Step) -> edits.Edit:
    if step.withdraws:
        return edits.WithdrawVersion(
            team=step.key.team,
            template=step.key.template,
            model_version=step.key.model_version,
        )
    return edits.SetRollOutShare(
        team=step.key.team,
        template=step.key.template,
        model_version=step.key.model_version,
        share_percent=step.share_percent,
    )
