"""Interface that chooses the version for each stage of a template."""

import abc
import dataclasses

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class VersionChoice:
    """The version chosen for a stage.

    Attributes:
        rolling_out: The version is in roll-out: sending to it uses up
            exposure allowance.
    """

    model_version: engine.ModelVersion
    rolling_out: bool


class VersionChooser(abc.ABC):
    """Chooses versions by the precedence in docs/design/precedence.md."""

    @abc.abstractmethod
    async def choose(
        self,
        *,
        template: documents.Template,
        stage_index: int,
        session: str,
        request_id: str,
    ) -> VersionChoice:
        """Returns the version for a stage.

        It waits only for a session's pin.

        Raises:
            errors.CodedError: `NO_CANDIDATE`, `NOT_ALLOWED` or
                `STALE_CONFIG` where the stage has no version that may run.
        """

    @abc.abstractmethod
    def check_dispatch(
        self,
        *,
        template: documents.Template,
        choice: VersionChoice,
    ) -> None:
        """Checks against the newest configuration just before sending.

        Raises:
            errors.CodedError: The version may not get new work any more.
        """

    def release(
        self,
        *,
        template: documents.Template,
        choice: VersionChoice,
    ) -> None:
        """Returns the exposure allowance of a choice that was not used.

        Called once at most, and only if provably no text reached a caller.
        The default is for choosers that count no exposure.
        """
        del template, choice
