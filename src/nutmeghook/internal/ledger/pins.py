"""Which version each session stays on, as the version choice uses it."""

import abc
import datetime

import msgspec

from nutmeghook.internal.dependencies import engine


class SessionKey(msgspec.Struct, frozen=True, kw_only=True):
    """What a pin belongs to: one stage of one template for one session."""

    team: str
    template: str
    stage_index: int
    session: str


class Pinned(msgspec.Struct, frozen=True, kw_only=True):
    """A session's version.

    Attributes:
        revision: The configuration's revision under which it was chosen.
    """

    model_version: engine.ModelVersion
    revision: int


class SessionPins(abc.ABC):
    """Keeps each session on the version it started with."""

    @abc.abstractmethod
    async def pin(
        self,
        key: SessionKey,
        *,
        proposed: engine.ModelVersion,
        unusable: frozenset[engine.ModelVersion],
        revision: int,
        timeout: datetime.timedelta,
    ) -> Pinned:
        """Returns the session's version, pinning `proposed` if it has none.

        Args:
            key: The session and stage.
            proposed: The version for a session that has no usable pin yet.
            unusable: Withdrawn versions; a pin to one of them is replaced,
                unless it was chosen under a higher revision: then the caller
                has yet to hear why the version may be used.
            revision: The configuration's revision that the caller goes by.
            timeout: The most to wait for a pin to become durable.

        Raises:
            errors.CodedError: `STORE_OUT` if the session's pin can't be
                found out or made durable.
        """

    def pin_later(
        self, key: SessionKey, *, version: engine.ModelVersion, revision: int
    ) -> None:
        """Has a session pinned as soon as that is possible.

        For sessions that were answered while their pin could neither be
        found out nor made durable. Pins that last no longer than the process
        need nothing more.
        """
        del key, version, revision
