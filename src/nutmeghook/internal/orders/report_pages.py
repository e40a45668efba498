"""What is loaded on the engines of one cell, as its members report it."""

import dataclasses
import datetime

import xxhash

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.routing import backends

# A cell polls its engines at least every 6 s and repeats the reports among its
# members every 5 s. An older report is left out of the page.
MAX_REPORT_AGE = datetime.timedelta(seconds=20)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Thrift's i64 is signed, and 0 stands for "no page".
_HASH_BITS = (1 << 63) - 1


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReportedEngine:
    """An engine's report without its load.

    The load changes all the time, and load digests round it so that a lightly
    loaded engine looks idle.
    """

    address: str
    loaded: frozenset[engine.ModelVersion]
    leaving: bool


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ReportPage:
    """The engines of one cell.

    Attributes:
        content_hash: Hash of `engines`.
        oldest_at: Monotonic time at which the oldest report was measured.
    """

    engines: tuple[ReportedEngine, ...]
    content_hash: int
    oldest_at: datetime.timedelta


def page_of(
    known: list[backends.Backend], now: datetime.timedelta
) -> ReportPage:
    """Returns the page of this instance's own cell."""
    reported = [
        backend
        for backend in known
        if backend.locality is backends.Locality.OWN_CELL
        and not backend.plain
        and backend.report is not None
        and now - backend.reported_at <= MAX_REPORT_AGE
    ]
    engines = tuple(
        ReportedEngine(
            address=backend.address,
            loaded=frozenset(backend.report.loaded),
            leaving=backend.leaving or backend.report.leaving,
        )
        for backend in sorted(reported, key=_address)
    )
    return ReportPage(
        engines=engines,
        content_hash=_hash(engines),
        oldest_at=min((b.reported_at for b in reported), default=now),
    )


def write_page(
    page: ReportPage, *, known_hash: int, now: datetime.timedelta
) -> ttypes.LoadedPage:
    """Returns the answer to a caller that has the page of `known_hash`."""
    message = ttypes.LoadedPage(
        content_hash=page.content_hash,
        # Rounded up, so that reports never look newer than they are.
        age_ms=-(-(now - page.oldest_at) // _MILLISECOND),
    )
    if known_hash == page.content_hash:
        return message
    texts = [_version_set(one) for one in page.engines]
    message.version_sets = sorted(set(texts))
    numbers = {text: i for i, text in enumerate(message.version_sets)}
    message.addresses = [one.address for one in page.engines]
    message.set_numbers = [numbers[text] for text in texts]
    message.leaving = [i for i, one in enumerate(page.engines) if one.leaving]
    return message


def read_page(
    message: ttypes.LoadedPage,
    *,
    known: ReportPage | None,
    asked_at: datetime.timedelta,
) -> ReportPage | None:
    """Returns the page that an answer holds or refers to.

    Args:
        message: The answer.
        known: The page whose hash was sent with the request.
        asked_at: When the request was sent. The age was computed after that,
            so the page never looks newer than it is.

    Returns:
        None if the answer says "unchanged" of another page than `known`, or
        its fields are out of range or inconsistent.
    """
    if message.age_ms is None or message.age_ms < 0:
        return None
    oldest_at = asked_at - message.age_ms * _MILLISECOND
    if message.addresses is None:
        if known is None or known.content_hash != message.content_hash:
            return None
        return dataclasses.replace(known, oldest_at=oldest_at)
    try:
        engines = _engines_in(message)
    except (IndexError, ValueError, TypeError):
        return None
    return ReportPage(
        engines=engines,
        content_hash=message.content_hash,
        oldest_at=oldest_at,
    )


def _engines_in(message: ttypes.LoadedPage) -> tuple[ReportedEngine, ...]:
    sets = [
        frozenset(
            engine.ModelVersion.parse(part) for part in text.split(",") if part
        )
        for text in message.version_sets
    ]
    leaving = frozenset(message.leaving)
    if min(message.set_numbers, default=0) < 0:
        raise IndexError("a set number is below 0")
    pairs = zip(message.addresses, message.set_numbers, strict=True)
    return tuple(
        ReportedEngine(
            address=address, loaded=sets[number], leaving=position in leaving
        )
        for position, (address, number) in enumerate(pairs)
    )


def _hash(engines: tuple[ReportedEngine, ...]) -> int:
    text = "\n".join(
        f"{one.address} {one.leaving} {_version_set(one)}" for one in engines
    )
    return (xxhash.xxh3_64_intdigest(text.encode()) & _HASH_BITS) or 1


def _version_set(one: ReportedEngine) -> str:
    return ",".join(sorted(map(str, one.loaded)))


def _address(backend: backends.Backend) -> str:
    return backend.address
