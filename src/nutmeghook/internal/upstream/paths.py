"""What this instance knows of its own paths to replicas."""

import datetime

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import logs
from nutmeghook.internal.upstream import reachability as reachability_module

_Reachability = reachability_module.Reachability

_MILLISECOND = datetime.timedelta(milliseconds=1)
# One lost path is more likely a replica that has ended.
_MIN_LOST = 2


class _LostPath:
    """A path on which the last attempt to connect failed.

    Attributes:
        since: Monotonic time of the first failure in a row.
        sign: How the latest attempt failed.
        is_bypassed: A peer has connected to the address meanwhile, so that the
            path is at fault and not the replica.
    """

    __slots__ = ("is_bypassed", "sign", "since")

    def __init__(self, *, since: datetime.timedelta, sign: _Reachability):
        self.since = since
        self.sign = sign
        self.is_bypassed = False


class ReplicaPaths:
    """Records which replicas' addresses accept connections, and logs changes.

    A failure says nothing of which end is at fault, the replica or this
    instance. That a peer connects at the same time does.
    """

    __slots__ = ("_clock", "_lost", "_open", "_opened_at")

    def __init__(self, *, clock: clock_module.Clock):
        self._clock = clock
        self._open: set[str] = set()
        self._lost: dict[str, _LostPath] = {}
        # Monotonic time of the last connection that was accepted.
        self._opened_at = datetime.timedelta()

    @property
    def lost_count(self) -> int:
        """Number of addresses that accept no connections from here."""
        return len(self._lost)

    @property
    def is_cut_off(self) -> bool:
        """Tells whether this instance seems to reach no replica by itself.

        Peers have connected to several replicas that it could not reach, and it
        has reached none since the first of them failed.
        """
        bypassed = [lost for lost in self._lost.values() if lost.is_bypassed]
        if len(bypassed) < _MIN_LOST:
            return False
        return self._opened_at < min(lost.since for lost in bypassed)

    def bypassed(self) -> list[str]:
        """Returns the addresses that only peers reach."""
        return [a for a, lost in self._lost.items() if lost.is_bypassed]

    def is_bypassed(self, address: str) -> bool:
        """Tells whether only peers reach an address."""
        lost = self._lost.get(address)
        return lost is not None and lost.is_bypassed

    def is_dark(self, address: str) -> bool:
        """Tells whether attempts to connect to an address go unanswered."""
        lost = self._lost.get(address)
        return lost is not None and lost.sign is _Reachability.DARK

    def is_doubtful(self, address: str) -> bool:
        """Tells whether an address is more likely reached through a peer."""
        return self.is_bypassed(address) or (
            address not in self._lost and self.is_cut_off
        )

    def is_silent(self, address: str) -> bool:
        """Tells whether open connections to an address carry nothing.

        Where connections are refused, open ones may still work.
        """
        if self.is_bypassed(address):
            return self.is_dark(address)
        return self.is_doubtful(address) and any(
            lost.sign is _Reachability.DARK for lost in self._lost.values()
        )

    def any_open(self, *, except_for: str) -> str | None:
        """Returns another address that last accepted a connection, if any."""
        return next((a for a in self._open if a != except_for), None)

    def note_open(self, address: str) -> None:
        """Records that an address accepted a connection."""
        was_cut_off = self.is_cut_off
        self._open.add(address)
        self._opened_at = self._clock.monotonic()
        lost = self._lost.pop(address, None)
        if lost is None:
            return
        lost_ms = self._age_ms(lost.since)
        logs.note(
            "path:open",
            address=address,
            lost_ms=lost_ms,
            was_bypassed=lost.is_bypassed,
        )
        if was_cut_off:
            logs.note("paths:restored", cut_off_ms=lost_ms)

    def note_failed(self, address: str, sign: _Reachability) -> None:
        """Records that an attempt to connect to an address failed."""
        if sign is _Reachability.NOT_ASKED:
            return
        known = self._lost.get(address)
        if known is not None:
            known.sign = sign
            return
        self._open.discard(address)
        self._lost[address] = _LostPath(
            since=self._clock.monotonic(), sign=sign
        )
        logs.note(
            "path:lost",
            address=address,
            sign=sign.value,
            open=len(self._open),
            lost=len(self._lost),
        )

    def note_bypassed(
        self, address: str, sign: _Reachability, *, helper: str
    ) -> None:
        """Records that a peer connected to an address that failed from here."""
        was_cut_off = self.is_cut_off
        self.note_failed(address, sign)
        lost = self._lost[address]
        if lost.is_bypassed:
            return
        lost.is_bypassed = True
        logs.note(
            "path:bypassed",
            address=address,
            sign=sign.value,
            helper=helper,
            after_ms=self._age_ms(lost.since),
        )
        if self.is_cut_off and not was_cut_off:
            signs = {lost.sign.value for lost in self._lost.values()}
            logs.note(
                "paths:cut_off",
                bypassed=len(self.bypassed()),
                signs=sorted(signs),
            )

    def forget(self, address: str) -> None:
        """Drops what is known of an address that is no replica's any more."""
        self._open.discard(address)
        self._lost.pop(address, None)

    def _age_ms(self, since: datetime.timedelta) -> int:
        return round((self._clock.monotonic() - since) / _MILLISECOND)
