"""The configuration in force in this process."""

from collections.abc import Callable
import datetime

import msgspec

from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import model

_NO_PROOF_MS = -1
# An instance that knows for so long that it is behind, as part of the time in
# which a change has to be in force, admits nobody by what it has. The change
# was accepted somewhat earlier than it was heard of.
_OVERDUE_PART = 0.5


class Admission(msgspec.Struct, frozen=True, kw_only=True):
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

    The operator's version decides which configuration is the newest, whether
    the store or a peer has it: a store that is restored from an older copy
    loses configurations that it had accepted.

    Args:
        needs_proof: Requests are admitted only once something proves that no
            newer configuration is known.
        change_time: Within it a change has to be in force; None without bound.

    Attributes:
        current: None until the first one is received.
        text: The current one as the operator wrote it.
        is_proven: Requests may be admitted by it. A store that was restored
            proves nothing to an instance that starts; peers do.
        behind_for: Returns for how long peers have been known to have a newer
            version that has not been received here yet; None if none has.
        proof_age_ms: Returns how old the last proof is that the store has no
            newer version; -1 if there is none.
    """

    __slots__ = (
        "_change_time",
        "_stored_version",
        "behind_for",
        "current",
        "is_proven",
        "proof_age_ms",
        "text",
    )

    def __init__(
        self,
        *,
        needs_proof: bool = False,
        change_time: datetime.timedelta | None = None,
    ):
        self._change_time = change_time
        self.current: model.Configuration | None = None
        self.text = b""
        self.is_proven = not needs_proof
        self.behind_for: Callable[[], datetime.timedelta | None] = _not_behind
        self.proof_age_ms: Callable[[], int] = _no_proof
        # The newest version that the store was seen to have, since it was last
        # restored.
        self._stored_version = 0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def newer_exists(self) -> bool:
        """Tells whether a peer has a newer version than this instance."""
        return self.behind_for() is not None

    @property
    def is_overdue(self) -> bool:
        """Tells whether a newer version should have arrived by now."""
        behind_for = self.behind_for()
        if behind_for is None or self._change_time is None:
            return False
        return behind_for > self._change_time * _OVERDUE_PART

    @property
    def is_lost_by_store(self) -> bool:
        """Tells whether the store has an older configuration than this one."""
        return self._stored_version < self.version

    def offer(
        self,
        configuration: model.Configuration,
        *,
        text: bytes = b"",
        source: str,
    ) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        A full read of the table or a lagging peer may offer an older one, with
        which a removed API key would work again.

        Args:
            configuration: What is offered.
            text: It as the operator wrote it, to be handed to peers.
            source: The store, or a peer's address; for the log.

        Returns:
            Whether it was put in force.
        """
        current = self.current
        if current is not None and configuration.version <= current.version:
            if configuration.version == current.version and text != self.text:
                logs.note(
                    "configuration:conflicting",
                    version=configuration.version,
                    source=source,
                )
            return False
        self.current = configuration
        self.text = text
        logs.note(
            "configuration:in_force",
            version=configuration.version,
            before=current.version if current else None,
            source=source,
            proof_age_ms=self.proof_age_ms(),
        )
        return True

    def note_stored(self, version: int, *, is_whole_history: bool) -> None:
        """Records the version that the store has.

        Args:
            version: Of the store's configuration.
            is_whole_history: The store has never been restored, so that it has
                lost nothing that it accepted.
        """
        was_lost = self.is_lost_by_store
        self._stored_version = version
        if is_whole_history:
            self.is_proven = True
        if self.is_lost_by_store and not was_lost:
            logs.note(
                "configuration:lost_by_store",
                version=self.version,
                stored=version,
            )

    def admission(self) -> Admission:
        """Returns what is known now; a configuration must be in force."""
        return Admission(
            version=self.current.version,
            proof_age_ms=self.proof_age_ms(),
            newer_known=self.newer_exists,
        )


def _not_behind() -> datetime.timedelta | None:
    return None


def _no_proof() -> int:
    return _NO_PROOF_MS
