"""Leave to send answers of versions in roll-out, as an interface."""

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
        """Takes leave for one answer; False: use the serving version.

        It answers from leave fetched earlier, never waits, and starts
        fetching more in the background.
        """

    @abc.abstractmethod
    def take_regardless(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Counts an answer that is sent whether there is leave or not.

        A session's pin goes before leave. What such answers take beyond the
        leave is a debt that later leave pays off first, so that a new
        session waits for it.
        """

    @abc.abstractmethod
    def release(
        self,
        *,
        template: documents.Template,
        model_version: engine.ModelVersion,
    ) -> None:
        """Returns leave taken for an answer that will not be sent."""


class NoExposureGate(ExposureGate):
    """Never gives leave: no roll-out gets new sessions here."""

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
        """Has nothing to take back."""
