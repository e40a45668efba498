"""Transfers the configuration between two instances.

An exchange is one request with this instance's digest. A peer that is ahead
replies with the missing changes, a peer that is behind requests them, so both
end at the higher revision.
"""

import datetime
import zlib

import msgspec

from nutmeghook.internal.config import replica as replica_module
from nutmeghook.internal.config import rows
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes

_NEVER_CONFIRMED_MS = -1
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ConfigExchange:
    """Sends and handles the messages about the configuration."""

    __slots__ = ("_caller", "_clock", "_replica", "_timeout")

    def __init__(
        self,
        *,
        replica: replica_module.ConfigReplica,
        caller: peers.PeerCaller,
        handlers: peers.PeerHandlers,
        clock: clock_module.Clock,
        timeout: datetime.timedelta = datetime.timedelta(seconds=1),
    ):
        self._replica = replica
        self._caller = caller
        self._clock = clock
        self._timeout = timeout
        handlers.register(ttypes.ConfigDigest, self._on_digest)
        handlers.register(ttypes.ConfigUpdate, self._on_update)
        handlers.register(ttypes.ConfigPull, self._on_pull)

    async def exchange(self, inner_address: str) -> int:
        """Brings both sides to the higher revision.

        Returns:
            The revision in force on the peer afterwards.

        Raises:
            peers.PeerUnreachableError: No reply in time.
            peers.PeerRefusedError: The peer failed at it.
        """
        sent_at = self._clock.monotonic()
        reply = await self._call(inner_address, self._digest())
        if isinstance(reply, ttypes.ConfigPull):
            return await self.push(
                inner_address, after_revision=reply.after_revision
            )
        return self._apply_and_confirm(reply, sent_at)

    async def push(self, inner_address: str, *, after_revision: int) -> int:
        """Sends the changes after a revision; returns the peer's new revision.

        Raises:
            peers.PeerUnreachableError: No reply in time.
            peers.PeerRefusedError: The peer failed at it.
        """
        sent_at = self._clock.monotonic()
        update = self._update_after(after_revision)
        reply = await self._call(inner_address, update)
        if isinstance(reply, ttypes.ConfigPull):
            # The peer is further behind than assumed.
            update = self._update_after(reply.after_revision)
            reply = await self._call(inner_address, update)
        if isinstance(reply, ttypes.ConfigPull):
            return reply.after_revision
        return self._apply_and_confirm(reply, sent_at)

    async def _call(
        self, inner_address: str, request: peers.Message
    ) -> peers.Message:
        return await self._caller.call(
            inner_address, request, timeout=self._timeout
        )

    async def _on_digest(self, digest: ttypes.ConfigDigest) -> peers.Message:
        if digest.revision > self._replica.revision:
            return ttypes.ConfigPull(after_revision=self._replica.revision)
        if digest.revision < self._replica.revision:
            return self._update_after(digest.revision)
        return self._digest()

    async def _on_update(self, update: ttypes.ConfigUpdate) -> peers.Message:
        # The age in a request is ignored: if the sender froze before the
        # request left, the age is too low. Only replies to this instance's
        # own requests, timed by its own clock, confirm freshness.
        self._apply(update)
        if self._replica.revision < update.digest.revision:
            return ttypes.ConfigPull(after_revision=self._replica.revision)
        return self._digest()

    async def _on_pull(self, pull: ttypes.ConfigPull) -> peers.Message:
        return self._update_after(pull.after_revision)

    def _apply_and_confirm(
        self, reply: peers.Message, sent_at: datetime.timedelta
    ) -> int:
        """Applies a reply; returns its sender's revision."""
        digest = reply
        if isinstance(reply, ttypes.ConfigUpdate):
            self._apply_reply(reply)
            digest = reply.digest
        if digest.confirmed_age_ms != _NEVER_CONFIRMED_MS:
            # The age was valid when the reply was built, after the request was
            # sent, so this can only overestimate it.
            age = digest.confirmed_age_ms * _MILLISECOND
            self._replica.confirm(digest.revision, sent_at - age)
        return digest.revision

    def _apply_reply(self, update: ttypes.ConfigUpdate) -> None:
        try:
            self._apply(update)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise peers.PeerRefusedError(
                code_number=codes.Code.INTERNAL.number,
                detail=f"the peer's configuration can't be decoded: {error}",
            ) from error

    def _apply(self, update: ttypes.ConfigUpdate) -> None:
        if update.snapshot is not None:
            self._replica.apply_state(
                msgspec.msgpack.decode(
                    zlib.decompress(update.snapshot),
                    type=state_module.ConfigState,
                )
            )
            return
        self._replica.apply_changes(
            [
                msgspec.msgpack.decode(change, type=rows.Change)
                for change in update.changes
            ]
        )

    def _update_after(self, revision: int) -> ttypes.ConfigUpdate:
        changes = self._replica.recent_changes_after(revision)
        if changes is None:
            return ttypes.ConfigUpdate(
                digest=self._digest(),
                changes=[],
                snapshot=zlib.compress(
                    msgspec.msgpack.encode(self._replica.state)
                ),
            )
        return ttypes.ConfigUpdate(
            digest=self._digest(),
            changes=[msgspec.msgpack.encode(change) for change in changes],
        )

    def _digest(self) -> ttypes.ConfigDigest:
        age = self._replica.confirmed_age()
        age_ms = _NEVER_CONFIRMED_MS
        if age is not None:
            # Rounded up, so that relaying never lowers the age.
            age_ms = -(-age // _MILLISECOND)
        return ttypes.ConfigDigest(
            revision=self._replica.revision, confirmed_age_ms=age_ms
        )
