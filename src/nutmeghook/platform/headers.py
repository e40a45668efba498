"""Reads and writes the headers of the users' platform.

Requests carry headers for the router, headers for the replica, and headers that
only the router may set. A caller's copy of the last kind is dropped: forwarded,
it could reserve memory, pin prompts or choose a version in the router's name.
"""

import datetime
import re

from nutmeghook.internal.foundation import http_headers
from nutmeghook.internal.relay import wire
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import signals as signals_module
from nutmeghook.platform import replicas

REQUEST_ID = "X-Attempt-Id"
TIME_LEFT = "X-Deadline-Ms"
TEAM = "X-Tenant"
MODEL = "X-Model"
# Prompt tokens and the largest number of output tokens.
TOKEN_COUNTS = "X-Token-Counts"
PROMPT_PARTS = "X-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
EXPECTED_REPLICA = "X-Expect-Replica"
URGENCY = "X-Request-Urgency"
SEAL = "X-Replica-Seal"
NOT_RUN = "X-Not-Executed"
LOAD = "X-Replica-Load"
CONFIDENCE = "X-Confidence"
COLD_LEFT = "X-Cold-Ms"
# Requests a second that the replica takes from all instances together.
RATE_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
# How many requests a second the replica may turn away before it falls over.
BRITTLE = "Server-Brittle"
REST = "Retry-After"
SESSION = "Session"
IDLE_LIMIT = "Keep-Alive"
ANY_MODEL = "*"
KEY_SCHEME = "token"
# Paths that a replica answers while its process runs. An engine needs no free
# slot for its report.
HEALTH_PATH = "/health"
ENGINE_REPORT_PATH = "/v1/report"
PROBE_PATHS = frozenset({HEALTH_PATH, ENGINE_REPORT_PATH})
WRONG_REPLICA_STATUS = 421
REFUSED_STATUS = 503

# Set only by the router, or meant only for it.
_NEVER_FORWARDED = http_headers.CONNECTION_FIELDS | {
    "authorization",
    "x-tenant",
    "x-deadline-ms",
    "x-expect-replica",
    "x-expect-version",
    "x-request-urgency",
    "x-pin-ms",
    "x-kv-hold",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "wait-ms",
}
# They concern one connection or the framing of its body, or are meant only for
# the router.
_NOT_RETURNED = http_headers.CONNECTION_FIELDS | {"x-replica-load"}
# One day; no replica stays cold for that long after its start.
_MAX_COLD_MS = 86_400_000
# A decimal number without sign or exponent.
_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
# Beyond any replica's capacity, so not meant as a limit.
_MAX_RATE_PER_S = 1_000_000
_MAX_COUNT_DIGITS = 9
# Beyond any model's context. Times and costs of larger ones would not fit
# messages to peers.
_MAX_TOKENS = 10_000_000
# A thousand times as long as usual; beyond that the figure is no speed.
_MAX_WORK_TIME_PERCENT = 100_000
# A replica that is to stay away for longer leaves.
_MAX_REST_S = 3600
_IS_LEAVING = "1"
_IDLE_LIMIT = re.compile(r"timeout=(\d+)", re.IGNORECASE)


class PlatformHeaders(wire.WireFormat):
    """Translates between the platform's headers and the relay's facts."""

    __slots__ = ()

    def read_caller(self, headers: wire.Headers) -> wire.CallerFacts:
        """Reads a request's headers."""
        values = {name.lower(): value for name, value in headers}
        unreadable: list[wire.UnreadableValue] = []
        return wire.CallerFacts(
            request_id=values.get(REQUEST_ID.lower(), ""),
            time_left=_milliseconds(values.get(TIME_LEFT.lower())),
            api_key=_key(values.get("authorization")),
            session=values.get(SESSION.lower()),
            any_model=values.get(MODEL.lower()) == ANY_MODEL,
            prompt=_prompt(values, unreadable),
            last_event_id=values.get(LAST_EVENT.lower()),
            forwarded=_forwarded(headers, _NEVER_FORWARDED),
            unreadable=tuple(unreadable),
        )

    def attempt_headers(
        self, caller: wire.CallerFacts, attempt: wire.AttemptFacts
    ) -> wire.Headers:
        """Returns the headers of a request to a replica."""
        replaced = set()
        own = [
            (TIME_LEFT, str(max(1, _whole_ms(attempt.time_left)))),
            (EXPECTED_REPLICA, attempt.replica_id),
        ]
        if attempt.team is not None:
            own.append((TEAM, attempt.team))
        if attempt.urgency is not None:
            own.append((URGENCY, str(attempt.urgency)))
        if attempt.model is not None:
            own.append((MODEL, attempt.model))
            replaced.add(MODEL.lower())
        if attempt.last_event_id is not None:
            own.append((LAST_EVENT, attempt.last_event_id))
            replaced.add(LAST_EVENT.lower())
        kept = [
            (name, value)
            for name, value in caller.forwarded
            if name.lower() not in replaced
        ]
        return kept + own

    def probe_headers(
        self, replica_id: str, *, time_left: datetime.timedelta
    ) -> wire.Headers:
        """Returns the headers of a liveness probe."""
        return [
            (TIME_LEFT, str(_whole_ms(time_left))),
            (EXPECTED_REPLICA, replica_id),
        ]

    def read_start_ms(self, body: bytes) -> int:
        """Returns the start that a replica's answer to a probe states."""
        return replicas.decode_start_ms(body)

    def read_answered_id(self, headers: wire.Headers) -> str | None:
        """Returns the id of the request that an answer is to, if stated."""
        stated = _values(headers, REQUEST_ID)
        return stated[-1] if stated else None

    def read_answer(
        self, status: int, headers: wire.Headers
    ) -> wire.AnswerFacts:
        """Reads an answer's headers."""
        values = {name.lower(): value for name, value in headers}
        unreadable: list[wire.UnreadableValue] = []
        return wire.AnswerFacts(
            not_run=NOT_RUN.lower() in values or status == WRONG_REPLICA_STATUS,
            sealed=bool(values.get(SEAL.lower())),
            encoded="content-encoding" in values,
            confidence=_optional_number(values, CONFIDENCE, unreadable),
            load=_load(values.get(LOAD.lower()), unreadable),
            idle_limit_s=_idle_limit_s(
                values.get(IDLE_LIMIT.lower()), unreadable
            ),
            cold_left=_cold_left(values, unreadable),
            signals=_signals(status, headers),
            unreadable=tuple(unreadable),
        )

    def answer_headers(self, headers: wire.Headers) -> wire.Headers:
        """Returns the headers of an answer that the caller is to see."""
        return _forwarded(headers, _NOT_RETURNED)


def _forwarded(
    headers: wire.Headers, left_out: frozenset[str]
) -> list[tuple[str, str]]:
    """Drops headers of one connection, also those that `Connection` names."""
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in left_out and name.lower() not in named
    ]


def _key(authorization: str | None) -> str | None:
    if authorization is None:
        return None
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else None


def _prompt(
    values: dict[str, str], unreadable: list[wire.UnreadableValue]
) -> wire.Prompt | None:
    counts = values.get(TOKEN_COUNTS.lower())
    if counts is None:
        return None
    numbers = [_token_count(part) for part in counts.split(",")]
    if len(numbers) != 2 or None in numbers:
        raise ValueError(
            f"{TOKEN_COUNTS} is {counts!r}; give two whole numbers"
        )
    return wire.Prompt(
        input_tokens=numbers[0],
        max_output_tokens=numbers[1],
        parts=_parts(values.get(PROMPT_PARTS.lower(), ""), unreadable),
    )


def _parts(
    text: str, unreadable: list[wire.UnreadableValue]
) -> tuple[wire.PromptPart, ...]:
    parts = []
    for entry in text.split(",") if text.strip() else ():
        part_id, _, tokens = entry.strip().partition(":")
        count = _token_count(tokens)
        if part_id and count is not None:
            parts.append(wire.PromptPart(part_id=part_id, tokens=count))
        else:
            unreadable.append(_unreadable(PROMPT_PARTS, entry))
    return tuple(parts)


def _load(
    text: str | None, unreadable: list[wire.UnreadableValue]
) -> wire.ReportedLoad | None:
    """Reads running, waiting, slots, and for some replicas the work time.

    Counts are of use without the work time, so one that can't be read does not
    hide them.
    """
    if text is None:
        return None
    parts = text.split(",")
    numbers, rest = [_request_count(part) for part in parts[:3]], parts[3:]
    if len(numbers) != 3 or None in numbers or len(rest) > 1:
        unreadable.append(_unreadable(LOAD, text))
        return None
    work_time_percent = _number(rest, _MAX_WORK_TIME_PERCENT)
    if rest and work_time_percent is None:
        unreadable.append(_unreadable(LOAD, text))
    return wire.ReportedLoad(
        running=numbers[0],
        waiting=numbers[1],
        slots=numbers[2],
        work_time_percent=work_time_percent,
    )


def _unreadable(field: str, value: str) -> wire.UnreadableValue:
    return wire.UnreadableValue(field=field, value=value)


def _optional_number(
    values: dict[str, str], name: str, unreadable: list[wire.UnreadableValue]
) -> int | None:
    text = values.get(name.lower())
    number = _whole_number(text)
    if text is not None and number is None:
        unreadable.append(_unreadable(name, text))
    return number


def _whole_number(text: str | None) -> int | None:
    if text is None:
        return None
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else None


def _token_count(text: str) -> int | None:
    number = _whole_number(text)
    return None if number is None else min(number, _MAX_TOKENS)


def _request_count(text: str) -> int | None:
    text = text.strip()
    # `int` raises an error for thousands of digits.
    if len(text) > _MAX_COUNT_DIGITS:
        return None
    number = _whole_number(text)
    if number is None or number > replica_module.MAX_REPORTED_REQUESTS:
        return None
    return number


def _milliseconds(text: str | None) -> datetime.timedelta | None:
    if text is None:
        return None
    number = _whole_number(text)
    if number is None:
        raise ValueError(f"{TIME_LEFT} is {text!r}; give a whole number")
    return datetime.timedelta(milliseconds=min(number, 86_400_000))


def _cold_left(
    values: dict[str, str], unreadable: list[wire.UnreadableValue]
) -> datetime.timedelta | None:
    number = _optional_number(values, COLD_LEFT, unreadable)
    if number is None:
        return None
    return datetime.timedelta(milliseconds=min(number, _MAX_COLD_MS))


def _signals(
    status: int, headers: wire.Headers
) -> signals_module.ReplicaSignals:
    unreadable = []
    limits = _values(headers, RATE_LIMIT)
    per_s = _number(limits, _MAX_RATE_PER_S)
    if limits and per_s is None:
        unreadable.append(f"{RATE_LIMIT} is {limits!r}; give one rate above 0")
    leaving = set(_values(headers, LEAVING))
    if leaving - {_IS_LEAVING}:
        unreadable.append(f"{LEAVING} is {sorted(leaving)!r}; give 1")
    rests = _values(headers, REST) if status == REFUSED_STATUS else []
    rest_s = _number(rests, _MAX_REST_S)
    if rests and rest_s is None:
        unreadable.append(
            f"{REST} is {rests!r}; give seconds up to {_MAX_REST_S}"
        )
    brittle = _values(headers, BRITTLE)
    refusals_per_s = _request_count(brittle[0]) if len(brittle) == 1 else None
    if brittle and refusals_per_s is None:
        unreadable.append(f"{BRITTLE} is {brittle!r}; give one whole number")
        # It is brittle for certain; the least that it may mean.
        refusals_per_s = 0
    return signals_module.ReplicaSignals(
        refusals_per_s=refusals_per_s,
        rate_limit_per_s=per_s,
        is_rate_limit_readable=not limits or per_s is not None,
        leaving=leaving == {_IS_LEAVING},
        rest=None if rest_s is None else datetime.timedelta(seconds=rest_s),
        unreadable=tuple(unreadable),
    )


def _values(headers: wire.Headers, name: str) -> list[str]:
    """Returns all values of a header that may be given more than once."""
    return [value for key, value in headers if key.lower() == name.lower()]


def _number(texts: list[str], largest: float) -> float | None:
    """Returns a number above 0; None unless there is one usable value."""
    if len(texts) != 1 or not _DECIMAL.fullmatch(texts[0].strip()):
        return None
    number = float(texts[0])
    return number if 0 < number <= largest else None


def _whole_ms(duration: datetime.timedelta) -> int:
    return int(duration / datetime.timedelta(milliseconds=1))


def _idle_limit_s(
    text: str | None, unreadable: list[wire.UnreadableValue]
) -> float | None:
    if text is None:
        return None
    found = _IDLE_LIMIT.search(text)
    if found is None:
        unreadable.append(_unreadable(IDLE_LIMIT, text))
        return None
    return float(found[1])
