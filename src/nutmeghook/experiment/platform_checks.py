"""Checks callers' histories against the replicas' logs."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from nutmeghook.standins import users_replica

STREAM_EVENTS = tuple(range(6))
WHOLE_STREAM = b"".join(users_replica.event(n) for n in STREAM_EVENTS)
WHOLE_ANSWER = b"done"
REQUEST_BODY = b"prompt"
# A long stream, more than what the sockets between a replica and its caller
# hold, for callers that read slowly.
LONG_BODY = b"prompt with a long answer"
LONG_EVENTS = tuple(range(96))
LONG_PADDING = 64 * 1024
# Crashes each replica that begins to run it.
CRASHING_BODY = b"prompt that no replica survives"
# Crashes each replica that answers a prompt with it.
CRASHING_PART = "badbadbad"
# The users' bound on serving an API key after its removal.
CONFIGURATION_BOUND_S = 2.0
_NOT_RUN_STATUSES = (429, 503)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ObservedCall:
    """What a caller observed of one request.

    Attributes:
        kind: The route.
        status: 0 if the connection broke before the response headers.
        complete: The answer ended normally.
        sent_s: When it was sent, in the event loop's time.
        ended_s: When the answer ended or the connection broke.
        router: The router's name and the number of its start.
        sent_body: The request's body.
    """

    request_id: str
    kind: str
    key: str
    status: int
    body: bytes
    complete: bool
    sealed: bool
    sent_s: float
    ended_s: float = 0.0
    router: str = ""
    sent_body: bytes = REQUEST_BODY


def violations(
    *,
    calls: Iterable[ObservedCall],
    runs: dict[str, int],
    removed_key: str,
    removed_at_s: float | None,
    stop_statuses: Iterable[int],
) -> list[str]:
    """Returns all violations.

    Args:
        calls: What callers observed.
        runs: How often each request was run.
        removed_key: The API key that was removed.
        removed_at_s: When its removal was accepted; None if it was not.
        stop_statuses: Exit statuses of stopped routers.
    """
    found = []
    for call in calls:
        ran = runs.get(call.request_id, 0)
        found.extend(_run_violations(call, ran))
        found.extend(_answer_violations(call))
        late = (
            removed_at_s is not None
            and call.sent_s > removed_at_s + CONFIGURATION_BOUND_S
        )
        admitted = call.status == 200 or ran
        if late and call.key == removed_key and admitted:
            found.append(f"{call.request_id} was admitted with a removed key")
    found.extend(
        f"a stopped router ended with status {status}"
        for status in stop_statuses
        if status
    )
    return found


def whole_answer(call: ObservedCall) -> bytes:
    """Returns the whole answer to a request."""
    if call.kind != "stream":
        return WHOLE_ANSWER
    if call.sent_body == LONG_BODY:
        return b"".join(
            users_replica.event(n, LONG_PADDING) for n in LONG_EVENTS
        )
    return WHOLE_STREAM


def _run_violations(call: ObservedCall, ran: int) -> Iterator[str]:
    if call.kind == "once" and ran > 1:
        yield f"{call.request_id} ran {ran} times"
    if call.status in _NOT_RUN_STATUSES and ran:
        yield f"{call.request_id} ran but was refused as not run"


def _answer_violations(call: ObservedCall) -> Iterator[str]:
    if call.status != 200:
        return
    expected = whole_answer(call)
    if not expected.startswith(call.body):
        yield f"{call.request_id} got {call.body[:80]!r}"
    elif call.complete and call.body != expected:
        yield f"{call.request_id} got a partial answer that ended normally"
    if not call.sealed:
        yield f"{call.request_id} got an answer without a seal"
