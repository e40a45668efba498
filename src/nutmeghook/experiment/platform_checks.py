"""What must hold of callers' histories, judged by the replicas' own logs."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from nutmeghook.standins import users_replica

STREAM_EVENTS = tuple(range(6))
WHOLE_STREAM = b"".join(users_replica.event(n) for n in STREAM_EVENTS)
WHOLE_ANSWER = b"done"
REQUEST_BODY = b"prompt"
# Ends each replica that begins to run it.
CRASHING_BODY = b"prompt that no replica survives"
# After a key was removed it is served no more; what the users' platform asks.
CONFIGURATION_BOUND_S = 2.0
_NOT_RUN_STATUSES = (429, 503)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ObservedCall:
    """What a caller saw of one request.

    Attributes:
        kind: The route that it was sent on.
        status: 0 where the connection broke before an answer began.
        complete: The answer came to its end.
        sent_s: When it was sent, in the event loop's time.
        ended_s: When the answer ended or the connection broke.
        router: Who took it.
        sent_body: What the caller sent.
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
    """Returns everything that did not hold.

    Args:
        calls: What callers saw.
        runs: How often each request was run.
        removed_key: The key that was taken away.
        removed_at_s: When its removal was accepted; None if it was not.
        stop_statuses: How stopped routers ended.
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
            found.append(f"{call.request_id} was let in by a removed key")
    found.extend(
        f"a stopped router ended with status {status}"
        for status in stop_statuses
        if status
    )
    return found


def _run_violations(call: ObservedCall, ran: int) -> Iterator[str]:
    if call.kind == "once" and ran > 1:
        yield f"{call.request_id} ran {ran} times"
    if call.status in _NOT_RUN_STATUSES and ran:
        yield f"{call.request_id} ran and was called not run"


def _answer_violations(call: ObservedCall) -> Iterator[str]:
    if call.status != 200:
        return
    expected = WHOLE_STREAM if call.kind == "stream" else WHOLE_ANSWER
    if not expected.startswith(call.body):
        yield f"{call.request_id} got {call.body[:80]!r}"
    elif call.complete and call.body != expected:
        yield f"{call.request_id} got a part as if it were whole"
    if not call.sealed:
        yield f"{call.request_id} got an answer without a seal"
