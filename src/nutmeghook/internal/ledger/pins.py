"""Session pins: the model version that each session stays on."""

import abc
import datetime

import msgspec

from nutmeghook.internal.dependencies import engine


class SessionKey(msgspec.Struct, frozen=True, kw_only=True):
    """The key of a pin: one stage of one template for one session."""

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
                unless it was chosen under a higher revision, which the
                caller has not received yet.
            revision: The caller's configuration revision.
            timeout: The most to wait for a pin to become durable.

        Raises:
            errors.CodedError: `STORE_OUT` if the session's pin can't be
                read or made durable.
        """

    def pin_later(
        self, key: SessionKey, *, version: engine.ModelVersion, revision: int
    ) -> None:
        """Pins a session in the background, as soon as that is possible.

        For sessions that were answered while their pin could neither be read
        nor made durable. By default nothing is done, which suits pins held in
        memory only.
        """
        del key, version, revision
