"""The HTTP application that callers talk to."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import eliot
import msgspec

from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dispatch import answers
from nutmeghook.internal.dispatch import dispatcher as dispatcher_module
from nutmeghook.internal.entry import bodies
from nutmeghook.internal.entry import drain as drain_module
from nutmeghook.internal.entry import openai_schema
from nutmeghook.internal.entry import paths
from nutmeghook.internal.entry import replies
from nutmeghook.internal.entry import request_reader as request_reader_module
from nutmeghook.internal.entry import sinks
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.foundation import identifiers as identifiers_module
from nutmeghook.internal.ledger import ledger

_WebHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_Handler = Callable[[web.Request, str], Awaitable[web.StreamResponse]]
_AuthenticatedHandler = Callable[
    [web.Request, str, tokens_module.TokenHolder], Awaitable[web.StreamResponse]
]


class EntryHandlers:
    """Handlers of the callers' paths."""

    __slots__ = (
        "_bodies",
        "_clock",
        "_config",
        "_dispatcher",
        "_drain",
        "_identifiers",
        "_knows_backends",
        "_reader",
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        config: view_module.ConfigView,
        tokens: tokens_module.TokenIndex,
        dispatcher: dispatcher_module.Dispatcher,
        drain: drain_module.Drain,
        identifiers: identifiers_module.IdentifierSource,
        knows_backends: Callable[[], bool],
    ):
        self._bodies = bodies.BodyBudget(clock=clock)
        self._clock = clock
        self._config = config
        self._dispatcher = dispatcher
        self._drain = drain
        self._identifiers = identifiers
        self._knows_backends = knows_backends
        self._reader = request_reader_module.RequestReader(
            clock=clock, config=config, tokens=tokens
        )

    def add_routes(self, application: web.Application) -> None:
        """Adds all paths."""
        router = application.router
        router.add_post("/v1/chat/completions", self._authenticated(self._chat))
        router.add_get("/v1/models", self._coded(self._models))
        router.add_route(
            "*",
            paths.SERVICES_PREFIX + "{service}/{path:.*}",
            self._authenticated(self._plain),
        )
        router.add_get("/healthz", self._healthz)
        router.add_get("/readyz", self._readyz)

    def _coded(self, handler: _Handler) -> _WebHandler:
        """Wraps a handler with a request id and coded error bodies."""

        async def handle(request: web.Request) -> web.StreamResponse:
            request_id = self._identifiers.mint("req")
            try:
                return await handler(request, request_id)
            except errors.CodedError as error:
                return replies.error_response(error, request_id=request_id)
            except Exception:
                eliot.write_traceback()
                fault = errors.CodedError(code=codes.Code.INTERNAL)
                return replies.error_response(fault, request_id=request_id)

        return handle

    def _authenticated(self, handler: _AuthenticatedHandler) -> _WebHandler:
        """Wraps a handler that needs a token and that a drain waits for.

        The token is checked first, so that a request without one costs
        nothing else.
        """

        async def handle(
            request: web.Request, request_id: str
        ) -> web.StreamResponse:
            caller = self._reader.caller(request)
            with self._drain.request(), self._bodies.reserved(request):
                return await handler(request, request_id, caller)

        return self._coded(handle)

    async def _chat(
        self,
        request: web.Request,
        request_id: str,
        caller: tokens_module.TokenHolder,
    ) -> web.StreamResponse:
        chat = await self._reader.chat(
            request, request_id=request_id, caller=caller
        )
        created_s = int(self._clock.now().timestamp())
        model = chat.generation.template.name
        if not chat.is_streamed:
            sink = sinks.WholeAnswerSink(
                request_id=request_id,
                model=model,
                created_s=created_s,
            )
            answer = await self._dispatcher.generate(chat.generation, sink)
            if isinstance(answer, answers.GeneratedAnswer):
                answer = sink.encode_whole(answer)
            return _kept_response(answer, request_id)
        sink = sinks.StreamSink(
            request=request,
            request_id=request_id,
            model=model,
            created_s=created_s,
        )
        try:
            answer = await self._dispatcher.generate(chat.generation, sink)
            if isinstance(answer, ledger.KeptAnswer):
                answer = await sink.replay(answer)
            return await sink.finish(answer, include_usage=chat.include_usage)
        except errors.CodedError as error:
            if not sink.started:
                raise
            return await sink.fail(error)

    async def _plain(
        self,
        request: web.Request,
        request_id: str,
        caller: tokens_module.TokenHolder,
    ) -> web.StreamResponse:
        call = await self._reader.plain(
            request, request_id=request_id, caller=caller
        )
        answer = await self._dispatcher.call_plain(call)
        if isinstance(answer, ledger.KeptAnswer):
            return _kept_response(answer, request_id)
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in paths.returned_headers(answer.headers):
            response.headers.add(name, value)
        response.headers[replies.REQUEST_ID_HEADER] = request_id
        return response

    async def _models(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        team = self._reader.caller(request).team
        names = sorted(
            template.name
            for template in self._config.snapshot.templates.values()
            if template.team == team.name
        )
        items = [
            openai_schema.ModelItem(id=name, owned_by=team.name)
            for name in names
        ]
        return web.Response(
            body=msgspec.json.encode(openai_schema.ModelList(data=items)),
            content_type="application/json",
        )

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        """Tells the load balancer whether to send new requests here."""
        if self._drain.state is not drain_module.DrainState.SERVING:
            return web.Response(status=503, text="leaving\n")
        if not self._config.snapshot.revision:
            return web.Response(status=503, text="no configuration yet\n")
        if not self._knows_backends():
            return web.Response(status=503, text="no load reports yet\n")
        return web.Response(text="ready\n")


def build_application(
    *,
    clock: clock_module.Clock,
    config: view_module.ConfigView,
    tokens: tokens_module.TokenIndex,
    dispatcher: dispatcher_module.Dispatcher,
    drain: drain_module.Drain,
    identifiers: identifiers_module.IdentifierSource,
    knows_backends: Callable[[], bool] = lambda: True,
) -> web.Application:
    """Returns the application with all paths of callers.

    Run it with `handler_cancellation=True`: a caller that disconnects then
    cancels its handler, and with it the work at the engine.
    """
    application = web.Application(
        client_max_size=bodies.MAX_BODY_BYTES,
        middlewares=[_code_routing_errors],
    )
    handlers = EntryHandlers(
        clock=clock,
        config=config,
        tokens=tokens,
        dispatcher=dispatcher,
        drain=drain,
        identifiers=identifiers,
        knows_backends=knows_backends,
    )
    handlers.add_routes(application)
    return application


@web.middleware
async def _code_routing_errors(
    request: web.Request, handler: _WebHandler
) -> web.StreamResponse:
    """Gives 404 and 405, which aiohttp's routing raises, a coded body."""
    try:
        return await handler(request)
    except web.HTTPException as refusal:
        if refusal.status not in _ROUTING_STATUSES:
            raise
        error = errors.CodedError(
            code=codes.Code.NOT_FOUND,
            detail=f"there is no handler for {request.method[:20]!a} at"
            f" {request.path[:100]!a}",
        )
        return replies.error_response(error, request_id="")


_ROUTING_STATUSES = frozenset({404, 405})


def _kept_response(answer: ledger.KeptAnswer, request_id: str) -> web.Response:
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={
            "Content-Type": answer.content_type,
            replies.REQUEST_ID_HEADER: request_id,
        },
    )
