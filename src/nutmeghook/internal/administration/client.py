"""A client of the administration API of any instance."""

import datetime
from typing import TypeVar
import urllib.parse

import aiohttp
import msgspec

from nutmeghook.internal.administration import application
from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import status as status_module
from nutmeghook.internal.config import edits
from nutmeghook.internal.foundation import bounded_http
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes

_T = TypeVar("_T")
# Longer than an accept with a slow store and instances that do not confirm.
_CALL_TIMEOUT = datetime.timedelta(seconds=30)
_RETRY_DELAY = datetime.timedelta(seconds=1)
_MAX_ATTEMPTS = 4


class RefusedError(Exception):
    """The API answered with an error."""

    def __init__(self, *, status: int, body: bodies.ErrorBody):
        super().__init__(
            f"{body.error.code} {body.error.name}: {body.error.message}"
        )
        self.status = status
        self.body = body


class NoAnswerError(Exception):
    """No answer came; a change may or may not have been accepted."""


class AdministrationClient:
    """Calls one address, which may be a load balancer's.

    Used as an asynchronous context manager.
    """

    __slots__ = ("_base_url", "_clock", "_headers", "_session")

    def __init__(self, *, base_url: str, token: str, clock: clock_module.Clock):
        if not base_url.startswith(("http://", "https://")):
            raise ValueError(
                f"base_url is {base_url!r}; give one such as "
                f"http://10.0.0.1:8080"
            )
        self._base_url = base_url.rstrip("/") + application.PREFIX
        self._clock = clock
        self._headers = {"Authorization": f"Bearer {token}"}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "AdministrationClient":
        """Opens the session."""
        self._session = aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(),
            headers=self._headers,
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT.total_seconds()),
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the session."""
        await self._session.close()

    async def submit(
        self, operation_id: str, body: bodies.SubmitBody
    ) -> bodies.OperationAnswer:
        """Requests a change, with retries under the same operation id.

        The id makes that idempotent: if a call was accepted but its answer was
        lost, the retry returns that outcome.

        Raises:
            RefusedError: It was not accepted, or its outcome is not known yet.
            NoAnswerError: The last attempt got no answer.
        """
        headers = {application.OPERATION_HEADER: operation_id}
        for _ in range(_MAX_ATTEMPTS - 1):
            try:
                return await self._post(
                    "/operations", body, bodies.OperationAnswer, headers
                )
            except NoAnswerError:
                await self._clock.sleep(_RETRY_DELAY)
            except RefusedError as error:
                if error.body.error.retry_after_ms is None:
                    raise
                await self._clock.sleep(
                    datetime.timedelta(
                        milliseconds=error.body.error.retry_after_ms
                    )
                )
        return await self._post(
            "/operations", body, bodies.OperationAnswer, headers
        )

    async def known_outcome(
        self, operation_id: str
    ) -> bodies.OperationAnswer | None:
        """Returns an operation's outcome; None while it has none.

        Raises:
            RefusedError: It was refused or abandoned.
            NoAnswerError: No answer came.
        """
        path = f"/operations/{_quoted(operation_id)}"
        try:
            return await self._get(path, bodies.OperationAnswer)
        except RefusedError as error:
            if error.body.error.code == codes.Code.NOT_FOUND.number:
                return None
            raise

    async def settle(self, operation_id: str) -> bodies.OperationAnswer:
        """Makes an operation's outcome final and returns it."""
        return await self._post(
            f"/operations/{_quoted(operation_id)}/settle",
            None,
            bodies.OperationAnswer,
            {},
        )

    async def draft(self, edit: edits.Edit) -> bodies.DraftAnswer:
        """Returns what a change would do, without making it."""
        body = bodies.DraftBody(edit=edit)
        return await self._post("/drafts", body, bodies.DraftAnswer, {})

    async def list_documents(self) -> bodies.ListAnswer:
        """Returns the visible documents' names."""
        return await self._get("/documents", bodies.ListAnswer)

    async def document(self, name: str) -> bodies.DocumentAnswer:
        """Returns a document in force."""
        path = f"/documents/{urllib.parse.quote(name)}"
        return await self._get(path, bodies.DocumentAnswer)

    async def history(
        self, *, document: str, before: int, limit: int
    ) -> bodies.HistoryAnswer:
        """Returns accepted changes, newest first."""
        query = urllib.parse.urlencode(
            {"document": document, "before": before, "limit": limit}
        )
        return await self._get(f"/changes?{query}", bodies.HistoryAnswer)

    async def change(self, revision: int) -> bodies.ChangeAnswer:
        """Returns what an accepted change changed."""
        return await self._get(f"/changes/{revision}", bodies.ChangeAnswer)

    async def status(self) -> status_module.StatusAnswer:
        """Returns the status for the next shift."""
        return await self._get("/status", status_module.StatusAnswer)

    async def usage(self) -> bodies.UsageAnswer:
        """Returns the totals of all bills."""
        return await self._get("/usage", bodies.UsageAnswer)

    async def _get(self, path: str, answer_type: type[_T]) -> _T:
        return await self._call("GET", path, None, answer_type, {})

    async def _post(
        self,
        path: str,
        body: msgspec.Struct | None,
        answer_type: type[_T],
        headers: dict[str, str],
    ) -> _T:
        return await self._call("POST", path, body, answer_type, headers)

    async def _call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None,
        answer_type: type[_T],
        headers: dict[str, str],
    ) -> _T:
        content = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method, self._base_url + path, data=content, headers=headers
            ) as response:
                status = response.status
                answer = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise NoAnswerError(
                f"no answer from {self._base_url}: {error!r}"
            ) from error
        if status != 200:
            raise _refusal(status, answer)
        try:
            return msgspec.json.decode(answer, type=answer_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            # A body without a length may have been cut short.
            raise NoAnswerError(
                f"no answer from {self._base_url}: {error}"
            ) from error


def _refusal(status: int, answer: bytes) -> Exception:
    try:
        body = msgspec.json.decode(answer, type=bodies.ErrorBody)
    except (msgspec.MsgspecError, RecursionError):
        # A load balancer's error page; an instance may have got the request.
        return NoAnswerError(f"HTTP {status} that is not nutmeghook's")
    return RefusedError(status=status, body=body)


def _quoted(text: str) -> str:
    return urllib.parse.quote(text, safe="")
