"""Parses and validates the request headers that callers set."""

from collections.abc import Mapping
import dataclasses
import re

from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors

IDEMPOTENCY_KEY = "Idempotency-Key"
SESSION_ID = "X-Session-Id"
PRIORITY = "X-Priority"
DEADLINE_MS = "X-Deadline-Ms"
MAX_DEADLINE_MS = 600_000
MAX_PRIORITY = 9

# Keys and sessions become parts of row keys and log lines, so spaces and
# control characters, with which a value could pose as another header, are
# refused.
_NAME = re.compile(r"[!-~]{1,200}")
_DIGITS = re.compile(r"[0-9]{1,9}")
_BEARER = "bearer "


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CallerHeaders:
    """A caller's options, from request headers.

    Attributes:
        idempotency_key: Empty for none.
        session: Empty for none.
        priority: None for the template's.
        deadline_ms: Milliseconds from arrival; None for the template's.
    """

    idempotency_key: str
    session: str
    priority: int | None
    deadline_ms: int | None


def caller_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Reads and checks the headers.

    Raises:
        errors.CodedError: `BAD_HEADER`, naming the header.
    """
    return CallerHeaders(
        idempotency_key=_name(headers, IDEMPOTENCY_KEY),
        session=_name(headers, SESSION_ID),
        priority=_number(headers, PRIORITY, smallest=0, largest=MAX_PRIORITY),
        deadline_ms=_number(
            headers, DEADLINE_MS, smallest=1, largest=MAX_DEADLINE_MS
        ),
    )


def token_holder(
    headers: Mapping[str, str], tokens: tokens_module.TokenIndex
) -> tokens_module.TokenHolder:
    """Returns the holder of the bearer token.

    Raises:
        errors.CodedError: `BAD_TOKEN`, the same for a missing and a wrong
            token; it never contains the token.
    """
    authorization = headers.get("Authorization", "")
    if authorization[: len(_BEARER)].lower() == _BEARER:
        holder = tokens.find(authorization[len(_BEARER) :].strip())
        if holder is not None:
            return holder
    raise errors.CodedError(
        code=codes.Code.BAD_TOKEN,
        detail="send 'Authorization: Bearer' with a token of your team",
    )


def _name(headers: Mapping[str, str], header: str) -> str:
    value = headers.get(header, "")
    if value and not _NAME.fullmatch(value):
        raise _bad(header, value, "send 1 to 200 visible ASCII characters")
    return value


def _number(
    headers: Mapping[str, str], header: str, *, smallest: int, largest: int
) -> int | None:
    value = headers.get(header)
    if value is None:
        return None
    if not _DIGITS.fullmatch(value) or not (smallest <= int(value) <= largest):
        raise _bad(
            header, value, f"send a whole number from {smallest} to {largest}"
        )
    return int(value)


def _bad(header: str, value: str, advice: str) -> errors.CodedError:
    return errors.CodedError(
        code=codes.Code.BAD_HEADER,
        detail=f"{header} is {value[:50]!a}; {advice}",
    )
