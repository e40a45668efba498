"""The table service's row of a lease."""

import datetime

import msgspec

KEY_PREFIX = "lease/"

_encoder = msgspec.msgpack.Encoder()


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The holder of a lease.

    Attributes:
        holder: Incarnation of the holding process.
        inner_address: The holder's address, `ip:port`.
        token: Fencing token; it rises with each change of holder.
        duration_ms: How long after a renewal the holder may act.
        write_number: Counts the holder's writes, to identify the one that a
            row comes from.
        released: The holder released it; anyone may acquire it immediately.
    """

    holder: str
    inner_address: str
    token: int
    duration_ms: int
    write_number: int
    released: bool = False


_decoder = msgspec.msgpack.Decoder(LeaseRow)


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of a lease; the same for all leases of a kind.

    Attributes:
        duration: How long the lease is valid after a renewal.
        margin: Subtracted by the holder and added by observers, against clock
            drift.
        renew_every: Time between renewals.
        poll_every: Time between an observer's reads of the row.
        settle: How long another instance must be preferred before a holder
            hands over to it, so that brief differences between member lists
            move no lease.
    """

    duration: datetime.timedelta = datetime.timedelta(seconds=4)
    margin: datetime.timedelta = datetime.timedelta(milliseconds=400)
    renew_every: datetime.timedelta = datetime.timedelta(seconds=1)
    poll_every: datetime.timedelta = datetime.timedelta(seconds=1)
    settle: datetime.timedelta = datetime.timedelta(seconds=5)

    def __post_init__(self):
        if self.renew_every + self.margin >= self.duration:
            raise ValueError(
                f"renew_every is {self.renew_every}; with the margin of "
                f"{self.margin} it must stay under the duration of "
                f"{self.duration}"
            )


def row_key(name: str) -> str:
    """Returns the key of a lease's row."""
    return KEY_PREFIX + name


def encode(row: LeaseRow) -> bytes:
    """Returns the row's value."""
    return _encoder.encode(row)


def decode(value: bytes) -> LeaseRow:
    """Reads the row's value."""
    return _decoder.decode(value)
