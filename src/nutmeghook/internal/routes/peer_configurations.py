"""Hands configurations to peers that the store has lost.

A store that comes back from an older copy has the configuration of that time
until the operator writes the newer one again. Running instances keep what they
have. One that starts, or stood still over the change, learns of it only here:

- An instance that starts asks peers before it admits requests, if the store was
  ever restored.
- While an instance has a newer configuration than the store, it tells a few
  peers periodically, and those that lack it fetch it.
"""

import asyncio
from collections.abc import Callable
import datetime
import enum
import random
import zlib

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import gossip_senders
from nutmeghook.internal.inner import peers as peers_module
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.observe import logs
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model
from nutmeghook.internal.table_replication import lag

GOSSIP_PERIOD = datetime.timedelta(milliseconds=500)
LOCAL_FANOUT = 2
REMOTE_FANOUT = 0.5
# A configuration of 64 KB takes some 20 ms on a slow link.
_CALL_TIMEOUT = datetime.timedelta(milliseconds=400)
# Peers that an instance asks at once when it starts. One that stood still over
# the change knows no better than the store.
_MAX_ASKED = 6
_ASK_AGAIN_DELAY = datetime.timedelta(milliseconds=300)
# Registered peers may all have ended, and callers need some instance.
LONGEST_PROOF = datetime.timedelta(seconds=5)
_COMPRESSION_LEVEL = 4
_MAX_TEXT_BYTES = 16 * 1024 * 1024
_MILLISECOND = datetime.timedelta(milliseconds=1)


class _Answer(enum.Enum):
    """What a peer said of the configuration that it has.

    Attributes:
        PROVEN: It admits requests by it.
        UNPROVEN: It is starting, and knows no better.
        ENDED: No instance runs there; it knows nothing any more.
        NONE: Nothing is known of it; it may have a newer one.
    """

    PROVEN = enum.auto()
    UNPROVEN = enum.auto()
    ENDED = enum.auto()
    NONE = enum.auto()


class PeerConfigurations(gossip_senders.MessageGossipSender):
    """Exchanges the configuration in force with peers.

    Args:
        inner_address: This instance's.
        configuration: The configuration in force here.
        decode: Decodes the operator's text; raises ValueError.
        registered_addresses: Returns the inner addresses of known peers.
        sample_peers: Returns the addresses of some live ones.
        caller: Calls peers.
        handlers: Gets the handler of peers' requests.
        messages: Sends datagrams.
        clock: Measures time.
        random_source: Draws among peers.
    """

    __slots__ = (
        "_ahead",
        "_caller",
        "_configuration",
        "_decode",
        "_inner_address",
        "_is_reported",
        "_lag",
        "_registered_addresses",
        "_sample_peers",
    )

    def __init__(
        self,
        *,
        inner_address: str,
        configuration: in_force_module.ConfigurationInForce,
        decode: Callable[[bytes], model.Configuration],
        registered_addresses: Callable[[], list[str]],
        sample_peers: Callable[[], list[str]],
        caller: peers_module.PeerCaller,
        handlers: peers_module.PeerHandlers,
        messages: sealed_messages.SealedMessages,
        clock: clock_module.Clock,
        random_source: random.Random,
    ):
        super().__init__(
            message_type=ttypes.ConfigurationNews,
            messages=messages,
            period=GOSSIP_PERIOD,
            clock=clock,
            random_source=random_source,
        )
        self._inner_address = inner_address
        self._configuration = configuration
        self._decode = decode
        self._registered_addresses = registered_addresses
        self._sample_peers = sample_peers
        self._caller = caller
        # Versions that peers reported, by address.
        self._ahead: dict[str, int] = {}
        self._lag = lag.Lag()
        self._is_reported = asyncio.Event()
        handlers.register(ttypes.ConfigurationPull, self._serve)

    def behind_for(self) -> datetime.timedelta | None:
        """Returns for how long a newer version has been known; None if not."""
        return self._lag.duration(
            own=self._configuration.version, now=self._clock.monotonic()
        )

    async def run(self) -> None:
        """Exchanges configurations until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super().run())
            tasks.create_task(self._fetch_reported())
            tasks.create_task(self.prove())

    def send_update(self) -> None:
        """Reports the version in force, if the store has an older one."""
        if self._configuration.is_lost_by_store:
            self._messages.send(
                self._sample_peers(),
                ttypes.ConfigurationNews(
                    sender_address=self._inner_address,
                    version=self._configuration.version,
                ),
            )

    async def prove(self) -> None:
        """Asks peers for a newer configuration until one can tell.

        If all peers are starting themselves or don't run, or none answers for
        long, what the store has is the newest that anyone knows.
        """
        began_at = self._clock.monotonic()
        proven = unproven = ended = failed = 0
        while not self._configuration.is_proven:
            proven, unproven, ended, failed = await self._ask_some()
            waited = self._clock.monotonic() - began_at
            is_answered = proven or not failed or waited >= LONGEST_PROOF
            if is_answered and self._configuration.version:
                self._configuration.is_proven = True
                logs.note(
                    "configuration:proven",
                    version=self._configuration.version,
                    by_peers=proven,
                    starting_peers=unproven,
                    ended_peers=ended,
                    silent_peers=failed,
                    waited_ms=round(waited / _MILLISECOND),
                )
                return
            await self._clock.sleep(_ASK_AGAIN_DELAY)

    async def _ask_some(self) -> tuple[int, ...]:
        """Asks some peers; returns how many there are of each `_Answer`."""
        known = self._registered_addresses()
        asked = self._random.sample(known, min(len(known), _MAX_ASKED))
        answers = await asyncio.gather(*(self._ask(peer) for peer in asked))
        return tuple(answers.count(kind) for kind in _Answer)

    async def _ask(self, address: str) -> "_Answer":
        """Fetches from a peer what is newer there."""
        request = ttypes.ConfigurationPull(
            known_version=self._configuration.version
        )
        try:
            page = await self._caller.call(
                address, request, timeout=_CALL_TIMEOUT
            )
        except peers_module.PeerRefusedError as error:
            # Earlier releases don't know the request.
            logs.note("configuration:not_told", peer=address, error=str(error))
            return _Answer.UNPROVEN
        except peers_module.PeerUnreachableError as error:
            logs.note("configuration:not_told", peer=address, error=str(error))
            if isinstance(error, peers_module.PeerNotListeningError):
                return _Answer.ENDED
            return _Answer.NONE
        if page.text:
            self._offer(page.text, address)
        return _Answer.PROVEN if page.proven else _Answer.UNPROVEN

    def _offer(self, compressed: bytes, address: str) -> None:
        try:
            text = zlib.decompressobj().decompress(compressed, _MAX_TEXT_BYTES)
            configuration = self._decode(text)
        except (ValueError, zlib.error) as error:
            logs.note(
                "configuration:unreadable", peer=address, error=str(error)
            )
            return
        self._configuration.offer(configuration, text=text, source=address)

    async def _serve(
        self, request: ttypes.ConfigurationPull
    ) -> ttypes.ConfigurationPage:
        """Returns the configuration in force, if it is newer than a peer's."""
        version = self._configuration.version
        page = ttypes.ConfigurationPage(
            version=version, proven=self._configuration.is_proven
        )
        if version > request.known_version:
            page.text = zlib.compress(
                self._configuration.text, _COMPRESSION_LEVEL
            )
        return page

    def _receive(self, message: ttypes.ConfigurationNews) -> None:
        """Notes a peer's version."""
        if message.version > self._configuration.version:
            self._lag.note_reported(
                message.version,
                own=self._configuration.version,
                now=self._clock.monotonic(),
            )
            self._ahead[message.sender_address] = message.version
            self._is_reported.set()

    async def _fetch_reported(self) -> None:
        """Fetches newer configurations that peers report, until cancelled.

        A peer that fails reports again while the store lacks its version.
        """
        while True:
            await self._is_reported.wait()
            self._is_reported.clear()
            while self._ahead:
                address = next(iter(self._ahead))
                if self._ahead[address] > self._configuration.version:
                    await self._ask(address)
                self._ahead.pop(address, None)
