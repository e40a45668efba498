"""The configuration in force in this process."""

from collections.abc import Callable
import dataclasses

from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import model

_NO_PROOF_MS = -1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Admission:
    """What was known of the configuration when a request was admitted.

    Attributes:
        version: The configuration in force.
        proof_age_ms: How old the last proof was that the store had no newer
            one, by an own call or a peer's; -1 if there was none.
        newer_known: A peer had reported a newer one.
    """

    version: int
    proof_age_ms: int = _NO_PROOF_MS
    newer_known: bool = False


class ConfigurationInForce:
    """Holds the newest configuration received; versions never decrease.

    Attributes:
        current: None until the first one is received.
        newer_exists: Returns whether a peer reported a newer version that has
            not been received here yet.
        proof_age_ms: Returns how old the last proof is that the store has no
            newer version; -1 if there is none.
    """

    __slots__ = ("current", "newer_exists", "proof_age_ms")

    def __init__(self):
        self.current: model.Configuration | None = None
        self.newer_exists: Callable[[], bool] = _no_newer_version
        self.proof_age_ms: Callable[[], int] = _no_proof

    def offer(self, configuration: model.Configuration, *, source: str) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        A full read of the table or a lagging peer may offer an older one, with
        which a removed API key would work again.

        Returns:
            Whether it was put in force.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            return False
        self.current = configuration
        logs.note(
            "configuration:in_force",
            version=configuration.version,
            before=current.version if current else None,
            source=source,
            proof_age_ms=self.proof_age_ms(),
        )
        return True

    def admission(self) -> Admission:
        """Returns what is known now; a configuration must be in force."""
        return Admission(
            version=self.current.version,
            proof_age_ms=self.proof_age_ms(),
            newer_known=self.newer_exists(),
        )


def _no_newer_version() -> bool:
    return False


def _no_proof() -> int:
    return _NO_PROOF_MS
