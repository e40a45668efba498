"""Leave to send answers of versions in roll-out, as an interface."""

import abc

from nutmeghook.internal.config import documents
from nutmeghook.internal.platform import engine


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
