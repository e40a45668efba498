"""Interface of the allowance to send answers of versions in roll-out."""

import abc

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine


class ExposureGate(abc.ABC):
    """Bounds the unrated answers of a rolling-out version, fleet-wide."""

    @abc.abstractmethod
    def try_take(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> bool:
        """Takes allowance for one answer; False: use the serving version.

        It uses allowance fetched earlier, never waits, and starts fetching
        more in the background.
        """

    @abc.abstractmethod
    def take_regardless(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Counts an answer that is sent with or without allowance.

        A session's pin takes precedence over the allowance. Answers beyond it
        are a debt that later grants pay off first, so new sessions wait.
        """

    @abc.abstractmethod
    def release(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Releases the allowance of an answer that will not be sent."""


class NoExposureGate(ExposureGate):
    """Has no allowance, so no version in roll-out gets new sessions."""

    __slots__ = ()

    def try_take(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> bool:
        """Refuses."""
        return False

    def take_regardless(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Counts nothing."""

    def release(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Does nothing."""
