"""The HTTP application of the administration API, under `/admin/v1`."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import math
import re

from aiohttp import web
import eliot
import msgspec

from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import principals
from nutmeghook.internal.administration import queries as queries_module
from nutmeghook.internal.administration import status as status_module
from nutmeghook.internal.config import assembly
from nutmeghook.internal.config import operations
from nutmeghook.internal.config import rows
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import bills as bills_module

PREFIX = "/admin/v1"
OPERATION_HEADER = "Operation-Id"
MAX_BODY_BYTES = 1024 * 1024
MAX_REASON_CHARS = 500
MAX_WAIT_MS = 30_000
_ACCEPT_TIMEOUT = datetime.timedelta(seconds=8)
# Longer than an accept normally takes, so that settling an operation that is
# still being accepted lets it finish instead of abandoning it.
_SETTLE_GRACE = datetime.timedelta(seconds=3)
_OPERATION_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{7,99}")
_NUMBER = re.compile(r"[0-9]{1,12}")
_MILLISECOND = datetime.timedelta(milliseconds=1)
_Handler = Callable[
    [web.Request, principals.Principal], Awaitable[msgspec.Struct]
]


class RefusedError(Exception):
    """A settled operation that was not accepted."""

    def __init__(self, *, record: rows.OperationRecord):
        super().__init__(record.detail)
        self.record = record


class AdministrationHandlers:
    """The handlers of the administration API."""

    __slots__ = ("_config", "_principals", "_queries")

    def __init__(
        self,
        *,
        config: assembly.ConfigParts,
        principals: principals.PrincipalFinder,
        sources: tuple[status_module.WaitingSource, ...] = (),
        bills: bills_module.BillReader | None = None,
    ):
        self._config = config
        self._principals = principals
        self._queries = queries_module.Queries(
            config=config, sources=sources, bills=bills
        )

    def add_routes(self, application: web.Application) -> None:
        """Adds all paths."""
        router = application.router
        router.add_post("/operations", self._coded_handler(self._submit))
        router.add_get("/operations/{id}", self._coded_handler(self._outcome))
        router.add_post(
            "/operations/{id}/settle", self._coded_handler(self._settle)
        )
        router.add_post("/drafts", self._coded_handler(self._draft))
        router.add_get("/documents", self._coded_handler(self._list))
        router.add_get(
            "/documents/{name:.+}", self._coded_handler(self._document)
        )
        router.add_get("/changes", self._coded_handler(self._history))
        router.add_get("/changes/{revision}", self._coded_handler(self._change))
        router.add_get("/status", self._coded_handler(self._status))
        router.add_get("/usage", self._coded_handler(self._usage))

    def _coded_handler(
        self, handler: _Handler
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        """Wraps a handler with authentication and coded error bodies."""

        async def handle(request: web.Request) -> web.Response:
            try:
                principal = self._principals.find(request.headers)
                answer = await handler(request, principal)
                return _json(200, answer)
            except RefusedError as error:
                coded = operations.error_of(error.record)
                return _error(coded, error.record)
            except errors.CodedError as error:
                return _error(error, None)
            except web.HTTPRequestEntityTooLarge:
                return _error(
                    errors.CodedError(code=codes.Code.TOO_LARGE), None
                )
            except Exception:
                eliot.write_traceback()
                return _error(errors.CodedError(code=codes.Code.INTERNAL), None)

        return handle

    async def _submit(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.OperationAnswer:
        body = bodies.decode(await request.read(), bodies.SubmitBody)
        principal.check_may_edit(body.edit)
        operation = operations.Operation(
            operation_id=_operation_id(
                request.headers.get(OPERATION_HEADER, ""), OPERATION_HEADER
            ),
            author=principal.author,
            reason=_reason(body.reason),
            edit=body.edit,
        )
        record = await self._config.accepter.accept(
            operation, timeout=_ACCEPT_TIMEOUT
        )
        return await self._answer(record, wait_ms=body.wait_ms)

    async def _outcome(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.OperationAnswer:
        principal.check_may_read(principal.team)
        operation_id = _operation_id(request.match_info["id"], "id")
        record = await self._config.accepter.outcome(
            principal.team, operation_id
        )
        if record is None:
            raise errors.CodedError(
                code=codes.Code.NOT_FOUND,
                detail=f"operation {operation_id!r} has no outcome yet; "
                f"POST to .../settle makes it final",
            )
        return await self._answer(record, wait_ms=0)

    async def _settle(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.OperationAnswer:
        principal.check_may_settle()
        record = await self._config.accepter.settle(
            principal.author,
            _operation_id(request.match_info["id"], "id"),
            grace=_SETTLE_GRACE,
        )
        return await self._answer(record, wait_ms=bodies.DEFAULT_WAIT_MS)

    async def _answer(
        self, record: rows.OperationRecord, *, wait_ms: int
    ) -> bodies.OperationAnswer:
        """Reports where an accepted change is in force.

        Raises:
            RefusedError: The operation was not accepted.
        """
        if record.outcome is not rows.Outcome.ACCEPTED:
            raise RefusedError(record=record)
        if self._config.replica.revision < record.revision:
            await self._config.distributor.read_store()
        wait_ms = min(max(wait_ms, 0), MAX_WAIT_MS)
        where = await self._config.inquiry.ask(
            record.revision, timeout=wait_ms * _MILLISECOND
        )
        return bodies.OperationAnswer(operation=record, where=where)

    async def _draft(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.DraftAnswer:
        body = bodies.decode(await request.read(), bodies.DraftBody)
        principal.check_may_edit(body.edit)
        draft = await self._config.accepter.draft(body.edit)
        return bodies.DraftAnswer(
            revision=draft.revision,
            faults=draft.faults,
            differences=draft.differences,
        )

    async def _list(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.ListAnswer:
        principal.check_may_read(principal.team)
        return self._queries.list_documents(principal)

    async def _document(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.DocumentAnswer:
        return self._queries.document(principal, request.match_info["name"])

    async def _history(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.HistoryAnswer:
        principal.check_may_read(principal.team)
        limit = _number(request.query.get("limit", "20"), "limit")
        return await self._queries.history(
            principal,
            document=request.query.get("document", ""),
            before=_number(request.query.get("before", "0"), "before"),
            limit=min(max(limit, 1), queries_module.MAX_CHANGES),
        )

    async def _change(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.ChangeAnswer:
        principal.check_may_read(principal.team)
        revision = _number(request.match_info["revision"], "revision")
        return await self._queries.change(principal, revision)

    async def _status(
        self, request: web.Request, principal: principals.Principal
    ) -> status_module.StatusAnswer:
        return await self._queries.status(principal)

    async def _usage(
        self, request: web.Request, principal: principals.Principal
    ) -> bodies.UsageAnswer:
        return await self._queries.usage(principal)


def build_application(
    *,
    config: assembly.ConfigParts,
    principals: principals.PrincipalFinder,
    sources: tuple[status_module.WaitingSource, ...] = (),
    bills: bills_module.BillReader | None = None,
) -> web.Application:
    """Returns the application, to be mounted under `PREFIX`."""
    application = web.Application(client_max_size=MAX_BODY_BYTES)
    AdministrationHandlers(
        config=config, principals=principals, sources=sources, bills=bills
    ).add_routes(application)
    return application


def _json(status: int, content: msgspec.Struct) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )


def _error(
    error: errors.CodedError, record: rows.OperationRecord | None
) -> web.Response:
    retry_after_ms = None
    if error.retry_after is not None:
        retry_after_ms = math.ceil(error.retry_after / _MILLISECOND)
    body = bodies.ErrorBody(
        error=bodies.ErrorFields(
            code=error.code.number,
            name=error.code.name,
            message=error.detail,
            run_state=error.run_state.value,
            retry_after_ms=retry_after_ms,
        ),
        operation=record,
    )
    return _json(error.code.http_status, body)


def _operation_id(text: str, name: str) -> str:
    if not _OPERATION_ID.fullmatch(text):
        raise errors.CodedError(
            code=codes.Code.BAD_HEADER,
            detail=f"{name} is {text!r}; choose a new id for each change: 8 to "
            f"100 of letters, digits, '.', '_' and '-', a letter or digit "
            f"first",
        )
    return text


def _reason(text: str) -> str:
    if not 1 <= len(text.strip()) <= MAX_REASON_CHARS:
        raise errors.CodedError(
            code=codes.Code.BAD_FIELD,
            detail=f"reason is {text!r}; say why in 1 to {MAX_REASON_CHARS} "
            f"characters, for the next shift",
        )
    return text.strip()


def _number(text: str, name: str) -> int:
    if not _NUMBER.fullmatch(text):
        raise errors.CodedError(
            code=codes.Code.BAD_FIELD,
            detail=f"{name} is {text!r}; give a whole number",
        )
    return int(text)
