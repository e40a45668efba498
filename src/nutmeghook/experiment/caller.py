"""A caller that sends requests, follows retry hints and records outcomes."""

import datetime
import time

import aiohttp
import msgspec

from nutmeghook.experiment import balancer as balancer_module
from nutmeghook.experiment import history
from nutmeghook.experiment import workload
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import answers

MAX_TRIES = 12
MAX_WAIT_MS = 3_000
DEFAULT_WAIT_MS = 200
TRY_TIMEOUT_S = 40
REQUEST_ID_HEADER = "X-Request-Id"
_DONE = b"[DONE]"
_DATA = b"data: "
_OUTCOME_BY_STATE = {
    "not_run": history.TryOutcome.NOT_RUN,
    "ran": history.TryOutcome.RAN,
    "unknown": history.TryOutcome.UNKNOWN,
}


class _ErrorBody(msgspec.Struct):
    code: int
    run_state: str
    request_id: str = ""
    retry_after_ms: int | None = None


class _ErrorReply(msgspec.Struct):
    error: _ErrorBody


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    message: _Delta | None = None


class _Completion(msgspec.Struct):
    choices: list[_Choice] = []
    error: _ErrorBody | None = None


class Caller:
    """Performs assignments on the instances behind a balancer."""

    __slots__ = ("_balancer", "_clock", "_history", "_http", "_tokens")

    def __init__(
        self,
        *,
        http: aiohttp.ClientSession,
        balancer: balancer_module.Balancer,
        clock: clock_module.Clock,
        tokens: dict[str, str],
        record: history.History,
    ):
        self._http = http
        self._balancer = balancer
        self._clock = clock
        self._tokens = tokens
        self._history = record

    async def perform(self, assignment: workload.Assignment) -> history.Work:
        """Retries until an answer or a final error, and records the work."""
        tries: list[history.Try] = []
        while True:
            attempt = await self._try(assignment)
            tries.append(attempt)
            if len(tries) >= MAX_TRIES or _is_final(assignment, attempt):
                break
            wait_ms = attempt.retry_after_ms or DEFAULT_WAIT_MS
            await self._clock.sleep(
                datetime.timedelta(milliseconds=min(wait_ms, MAX_WAIT_MS))
            )
        work = history.Work(
            marker=assignment.marker,
            kind=assignment.kind,
            team=assignment.team,
            template=assignment.target,
            session=assignment.session,
            key=assignment.key,
            streamed=assignment.streamed,
            once=assignment.once,
            tries=tuple(tries),
        )
        self._history.add(work)
        return work

    async def _try(self, assignment: workload.Assignment) -> history.Try:
        instance = self._balancer.pick()
        try_record = _TryRecord(instance=instance)
        try:
            async with self._http.request(
                _method(assignment),
                f"http://{instance}{_path(assignment)}",
                headers=self._headers(assignment),
                data=_body(assignment),
                timeout=aiohttp.ClientTimeout(total=TRY_TIMEOUT_S),
            ) as response:
                try_record.request_id = response.headers.get(
                    REQUEST_ID_HEADER, ""
                )
                if response.status >= 400:
                    try_record.record_error(await response.read())
                elif assignment.streamed:
                    await _read_stream(response, try_record)
                else:
                    _read_whole_answer(
                        assignment, await response.read(), try_record
                    )
        except aiohttp.ClientConnectorError:
            try_record.outcome = history.TryOutcome.NOT_RUN
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            try_record.outcome = history.TryOutcome.CUT
        return try_record.to_try()

    def _headers(self, assignment: workload.Assignment) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._tokens[assignment.team]}",
            "Content-Type": "application/json",
        }
        if assignment.key:
            headers["Idempotency-Key"] = assignment.key
        if assignment.session:
            headers["X-Session-Id"] = assignment.session
        return headers


class _TryRecord:
    """The state of one try so far."""

    __slots__ = (
        "code_number",
        "first_token_ms",
        "instance",
        "outcome",
        "request_id",
        "retry_after_ms",
        "started_ms",
        "text",
    )

    def __init__(self, *, instance: str):
        self.instance = instance
        self.started_ms = time.time() * 1000
        self.outcome = history.TryOutcome.CUT
        self.request_id = ""
        self.code_number = 0
        self.retry_after_ms = 0
        self.first_token_ms: float | None = None
        self.text: list[str] = []

    def record_error(self, body: bytes) -> None:
        """Records an error response; one that can't be decoded is ignored."""
        try:
            error = msgspec.json.decode(body, type=_ErrorReply).error
        except msgspec.MsgspecError:
            return
        self.record_coded_error(error)

    def record_coded_error(self, error: _ErrorBody) -> None:
        """Records an error with a result code."""
        self.outcome = _OUTCOME_BY_STATE[error.run_state]
        self.code_number = error.code
        self.request_id = error.request_id or self.request_id
        self.retry_after_ms = error.retry_after_ms or 0

    def record_text(self, text: str) -> None:
        """Records a piece of the answer."""
        if self.first_token_ms is None:
            self.first_token_ms = time.time() * 1000 - self.started_ms
        self.text.append(text)

    def to_try(self) -> history.Try:
        """Returns the completed try."""
        text = "".join(self.text)
        return history.Try(
            outcome=self.outcome,
            started_ms=self.started_ms,
            ended_ms=time.time() * 1000,
            instance=self.instance,
            request_id=self.request_id,
            code_number=self.code_number,
            retry_after_ms=self.retry_after_ms,
            served_version=answers.first_version(text),
            first_token_ms=self.first_token_ms,
            text=text,
        )


def _is_final(assignment: workload.Assignment, attempt: history.Try) -> bool:
    """Tells whether the caller stops retrying after this try.

    A broken connection is retried. An unknown outcome that the system itself
    reports is final for work with an idempotency key; other work is retried.
    """
    if attempt.outcome is history.TryOutcome.ANSWERED:
        return True
    if attempt.outcome is history.TryOutcome.NOT_RUN:
        return attempt.code_number > 0 and not _has_retry_delay(attempt)
    if attempt.outcome is history.TryOutcome.CUT:
        return False
    return bool(assignment.key)


def _has_retry_delay(attempt: history.Try) -> bool:
    return attempt.retry_after_ms > 0


def _method(assignment: workload.Assignment) -> str:
    if assignment.kind is history.WorkKind.PLAIN_READ:
        return "GET"
    return "POST"


def _is_plain(assignment: workload.Assignment) -> bool:
    return assignment.kind in history.PLAIN_KINDS


def _path(assignment: workload.Assignment) -> str:
    if _is_plain(assignment):
        return f"/services/{assignment.target}?marker={assignment.marker}"
    return "/v1/chat/completions"


def _body(assignment: workload.Assignment) -> bytes | None:
    if assignment.kind is history.WorkKind.PLAIN_READ:
        return None
    if assignment.kind is history.WorkKind.PLAIN_BOOKING:
        return msgspec.json.encode({"marker": assignment.marker})
    words = " ".join(["words"] * assignment.prompt_words)
    return msgspec.json.encode(
        {
            "model": assignment.target,
            "stream": assignment.streamed,
            "max_tokens": assignment.max_tokens,
            "messages": [
                {"role": "system", "content": f"You serve {assignment.team}."},
                {
                    "role": "user",
                    "content": f"marker={assignment.marker} {words}",
                },
            ],
        }
    )


def _read_whole_answer(
    assignment: workload.Assignment, body: bytes, try_record: _TryRecord
) -> None:
    if _is_plain(assignment):
        try_record.text.append(body.decode(errors="replace"))
    else:
        completion = msgspec.json.decode(body, type=_Completion)
        message = completion.choices[0].message
        try_record.record_text((message and message.content) or "")
    try_record.outcome = history.TryOutcome.ANSWERED


async def _read_stream(
    response: aiohttp.ClientResponse, try_record: _TryRecord
) -> None:
    """Reads the events; only `[DONE]` or an error event is a proper end."""
    async for line in response.content:
        if not line.startswith(_DATA):
            continue
        event = line[len(_DATA) :].strip()
        if event == _DONE:
            try_record.outcome = history.TryOutcome.ANSWERED
            return
        chunk = msgspec.json.decode(event, type=_Completion)
        if chunk.error is not None:
            try_record.record_coded_error(chunk.error)
            return
        for choice in chunk.choices:
            if choice.delta and choice.delta.content:
                try_record.record_text(choice.delta.content)
