"""Probes, their acks, and the rumours piggybacked on both."""

import asyncio
import datetime
import itertools

import eliot

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import datagrams as datagrams_module
from nutmeghook.internal.inner import traffic as traffic_module
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.membership import claims
from nutmeghook.internal.membership import listener as listener_module
from nutmeghook.internal.membership import rumours as rumours_module
from nutmeghook.internal.membership import table as table_module
from nutmeghook.internal.membership import timing as timing_module

# Concurrent indirect probes for others; more are dropped, as the requester has
# two other helpers.
_MAX_RELAYS = 32


class Gossip:
    """Sends probes and answers them; every message merges into the table."""

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_datagrams",
        "_introduce_until",
        "_listener",
        "_relays",
        "_rumours",
        "_seal",
        "_sequences",
        "_table",
        "_timing",
        "_traffic",
        "_waiting",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        table: table_module.MemberTable,
        datagrams: datagrams_module.Datagrams,
        seal: datagrams_module.Seal,
        traffic: traffic_module.Traffic,
        timing: timing_module.Timing,
        listener: listener_module.MembershipListener,
    ):
        self._clock = clock
        self._table = table
        self._rumours = rumours_module.RumourQueue()
        self._datagrams = datagrams
        self._seal = seal
        self._traffic = traffic
        self._timing = timing
        self._listener = listener
        self._sequences = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[bool]] = {}
        self._relays: set[asyncio.Task] = set()
        self._introduce_until = clock.monotonic() + timing.introduction
        self._confirmed_at: datetime.timedelta | None = None

    def start(self) -> None:
        """Begins to receive datagrams."""
        self._datagrams.set_receiver(self._receive)

    def stop(self) -> None:
        """Cancels the indirect probes for others."""
        for relay in self._relays:
            relay.cancel()

    def is_confirmed(self) -> bool:
        """Tells whether a member recently acked without a claim of death.

        Measured from when the probe was sent, not when its ack came: an ack
        that waited in the socket while this process was frozen is stale. So
        after a long freeze this is false until a new probe is answered.
        """
        if self._confirmed_at is None:
            return False
        age = self._clock.monotonic() - self._confirmed_at
        return age <= self._timing.suspicion

    def spread(self, claim: claims.Claim) -> None:
        """Gossips a claim, a bounded number of times."""
        self._rumours.add(claim)

    async def probe(
        self,
        inner_address: str,
        *,
        timeout: datetime.timedelta,
        target_address: str | None = None,
    ) -> bool:
        """Probes a member; returns whether an ack came in time.

        Args:
            inner_address: The receiver of the probe.
            timeout: How long the ack may take.
            target_address: The member that the receiver shall probe (indirect
                probe); None for the receiver itself.
        """
        sequence = next(self._sequences)
        ack = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = ack
        sent_at = self._clock.monotonic()
        try:
            self._send_probe(inner_address, sequence, target_address)
            refuted = await self._clock.wait_for(ack, timeout)
        except TimeoutError:
            return False
        finally:
            del self._waiting[sequence]
        self._table.note_ack(target_address or inner_address, sent_at)
        if not refuted:
            self._confirmed_at = max(self._confirmed_at or sent_at, sent_at)
        return True

    def announce_to(self, inner_address: str) -> None:
        """Sends a probe without waiting for its ack."""
        self._send_probe(inner_address, next(self._sequences), None)

    def _send_probe(
        self, inner_address: str, sequence: int, target_address: str | None
    ) -> None:
        probe = ttypes.Probe(
            sender=self._sender(),
            rumours=self._rumours_for(inner_address),
            target_address=target_address,
            members_hash=self._table.running_hash(),
        )
        self._send(inner_address, probe, sequence)

    def _send_ack(
        self, inner_address: str, sequence: int, target_address: str | None
    ) -> None:
        ack = ttypes.ProbeAck(
            sender=self._sender(),
            rumours=self._rumours_for(inner_address),
            members_hash=self._table.running_hash(),
        )
        record = self._table.record(target_address or "")
        if record is not None:
            ack.rumours.insert(0, _with_location(record.claim))
        self._send(inner_address, ack, sequence)

    def _sender(self) -> ttypes.MemberState:
        introduces = self._clock.monotonic() < self._introduce_until
        return claims.to_state(self._table.own_claim, with_location=introduces)

    def _rumours_for(self, inner_address: str) -> list[ttypes.MemberState]:
        """Returns rumours, preceded by the receiver's own death if known.

        So a member that was frozen or cut off learns of its death with the
        first message of any member that knows of it.
        """
        running = len(self._table.running()) + 1
        updates = self._rumours.pick(running)
        record = self._table.record(inner_address)
        if record is not None and not record.claim.is_running:
            updates = [record.claim, *(c for c in updates if c != record.claim)]
        return [_with_location(claim) for claim in updates]

    def _send(
        self,
        inner_address: str,
        message: ttypes.Probe | ttypes.ProbeAck,
        sequence: int,
    ) -> None:
        """Seals and sends, with as many rumours as fit the datagram.

        Larger datagrams would be fragmented and lost more often, and the lost
        probes would make members look dead.
        """
        encoded = codec.encode(message, sequence=sequence)
        while len(encoded.data) > datagrams_module.MAX_ENVELOPE_BYTES:
            if not message.rumours:
                raise ValueError(
                    f"{encoded.kind} of {len(encoded.data)} bytes exceeds the "
                    "datagram limit; shorten the names of regions and data "
                    "centres"
                )
            message.rumours.pop()
            encoded = codec.encode(message, sequence=sequence)
        data = self._seal.wrap(encoded.data)
        self._traffic.count_sent(
            encoded.kind, len(data) + datagrams_module.HEADER_BYTES
        )
        self._datagrams.send(inner_address, data)

    def _receive(self, data: bytes) -> None:
        try:
            received = codec.decode(self._seal.unwrap(data))
            sender = self._sender_of(received)
        except (codec.MalformedError, claims.BadClaimError) as error:
            eliot.log_message("membership:malformed", reason=str(error))
            return
        self._traffic.count_received(
            received.kind, len(data) + datagrams_module.HEADER_BYTES
        )
        refuted = self._merge(sender, received.message.rumours)
        if isinstance(received.message, ttypes.ProbeAck):
            waiting = self._waiting.get(received.sequence)
            if waiting is not None and not waiting.done():
                waiting.set_result(refuted)
        else:
            self._answer(received, sender.member.inner_address)
        if received.message.members_hash != self._table.running_hash():
            self._listener.on_difference(sender.member.inner_address)

    def _sender_of(self, received: codec.Received) -> claims.Claim:
        message = received.message
        if not isinstance(message, ttypes.Probe | ttypes.ProbeAck):
            raise codec.MalformedError(
                f"unexpected {received.kind} in a datagram"
            )
        if message.sender is None:
            raise claims.BadClaimError("missing sender")
        return claims.from_state(message.sender)

    def _merge(
        self, sender: claims.Claim, states: list[ttypes.MemberState] | None
    ) -> bool:
        """Applies all claims of a message.

        Returns:
            Whether one of them was false and about this instance.
        """
        refuted = False
        for claim in [sender, *claims.usable(states)]:
            verdict = self.apply_claim(claim)
            refuted = refuted or verdict is table_module.Verdict.REFUTED
        return refuted

    def apply_claim(self, claim: claims.Claim) -> table_module.Verdict:
        """Applies one claim, gossips it if new, and notifies the listener."""
        verdict = self._table.apply_claim(claim)
        if verdict is table_module.Verdict.ADOPTED:
            self._rumours.add(claim)
        elif verdict is table_module.Verdict.REFUTED:
            self._rumours.add(self._table.own_claim)
        if verdict is not table_module.Verdict.KNOWN:
            self._listener.on_verdict(claim, verdict)
        return verdict

    def _answer(self, received: codec.Received, sender_address: str) -> None:
        target = received.message.target_address
        if target is None:
            self._send_ack(sender_address, received.sequence, None)
            return
        if len(self._relays) >= _MAX_RELAYS:
            return
        relay = asyncio.create_task(
            self._relay(sender_address, received.sequence, target)
        )
        self._relays.add(relay)
        relay.add_done_callback(self._relays.discard)

    async def _relay(
        self, asker_address: str, sequence: int, target_address: str
    ) -> None:
        timeout = self._timing.direct_timeout
        if await self.probe(target_address, timeout=timeout):
            self._send_ack(asker_address, sequence, target_address)


def _with_location(claim: claims.Claim) -> ttypes.MemberState:
    return claims.to_state(claim, with_location=True)
