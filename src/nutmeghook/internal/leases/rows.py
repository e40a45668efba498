"""The row in the table service that stands for a lease."""

import datetime

import msgspec

KEY_PREFIX = "lease/"

_encoder = msgspec.msgpack.Encoder()


class LeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds a lease.

    Attributes:
        holder: Incarnation of the holding process.
        inner_address: Where the holder is reached, `ip:port`.
        token: Fencing token; it rises with each change of holder.
        duration_ms: How long after a renewal the holder may act.
        write_number: Counts the holder's writes, so that it can tell which
            of them a row came from.
        released: The holder gave it up; anyone may take it at once.
    """

    holder: str
    inner_address: str
    token: int
    duration_ms: int
    write_number: int
    released: bool = False


_decoder = msgspec.msgpack.Decoder(LeaseRow)


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a lease; one set for all leases of a kind.

    Attributes:
        duration: How long a renewal lasts for its holder.
        margin: What the holder takes off and observers add, for clocks that
            run at slightly different speeds.
        renew_every: Time between renewals.
        poll_every: Time between an observer's reads of the row.
        settle: How long another instance must be preferred before a holder
            hands over to it; it damps views that differ for a moment.
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
