"""Parses and validates HTTP requests for the dispatcher."""

import dataclasses
import datetime

from aiohttp import web
import msgspec
import xxhash

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import plain
from nutmeghook.internal.dispatch import requests
from nutmeghook.internal.entry import bodies
from nutmeghook.internal.entry import headers as headers_module
from nutmeghook.internal.entry import openai_schema
from nutmeghook.internal.entry import paths
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import ledger

UNCONFIGURED_RETRY_AFTER = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class ChatCall:
    """A chat request, and the requested form of its answer."""

    generation: requests.GenerationRequest
    is_streamed: bool
    include_usage: bool


class RequestReader:
    """Parses and validates callers' requests, cheapest checks first."""

    __slots__ = ("_chat_decoder", "_clock", "_config", "_tokens")

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        config: view_module.ConfigView,
        tokens: tokens_module.TokenIndex,
    ):
        self._clock = clock
        self._config = config
        self._tokens = tokens
        self._chat_decoder = msgspec.json.Decoder(openai_schema.ChatRequest)

    def caller(self, request: web.Request) -> tokens_module.TokenHolder:
        """Returns the holder of the request's token.

        Raises:
            errors.CodedError: `STALE_CONFIG`, `BAD_TOKEN` or `NOT_ALLOWED`.
        """
        self._check_configured()
        holder = headers_module.token_holder(request.headers, self._tokens)
        if holder.role is not documents.Role.CALLER:
            raise errors.CodedError(
                code=codes.Code.NOT_ALLOWED,
                detail=f"a token of role {holder.role.value!r} can't send"
                " requests; use one of role 'caller'",
            )
        return holder

    def _check_configured(self) -> None:
        """Refuses requests until a configuration has been received.

        The load balancer may send requests to an instance that has just
        started and knows no token yet. `BAD_TOKEN` would make the caller give
        up a request that any other instance serves.
        """
        if not self._config.snapshot.revision:
            raise errors.CodedError(
                code=codes.Code.STALE_CONFIG,
                detail="this instance has no configuration yet; retry later",
                retry_after=UNCONFIGURED_RETRY_AFTER,
            )

    async def chat(
        self,
        request: web.Request,
        *,
        request_id: str,
        caller: tokens_module.TokenHolder,
    ) -> ChatCall:
        """Reads a chat request.

        Raises:
            errors.CodedError: The request is invalid.
        """
        arrived = self._clock.monotonic()
        team = caller.team
        headers = headers_module.caller_headers(request.headers)
        body = await bodies.read_body(request, clock=self._clock)
        chat = self._decode_chat(body)
        template = self._template(team, chat.model)
        messages = tuple(
            engine.Message(role=m.role, content=m.plain_text())
            for m in chat.messages
        )
        generation = requests.GenerationRequest(
            request_id=request_id,
            identity=_identity(team, headers, request_id, (body,)),
            team=team,
            token_sha256=caller.token_sha256,
            template=template,
            messages=messages,
            prompt_chars=sum(len(m.content) for m in messages),
            max_tokens=min(
                chat.token_limit or template.max_tokens, template.max_tokens
            ),
            session=headers.session,
            priority=_priority(headers, template.priority),
            arrived=arrived,
            deadline=arrived + _time_allowed(headers, template.deadline_ms),
        )
        return ChatCall(
            generation=generation,
            is_streamed=bool(chat.stream),
            include_usage=chat.stream_options is not None
            and chat.stream_options.include_usage,
        )

    async def plain(
        self,
        request: web.Request,
        *,
        request_id: str,
        caller: tokens_module.TokenHolder,
    ) -> requests.PlainRequest:
        """Reads a call of a plain service.

        Raises:
            errors.CodedError: The request is invalid.
        """
        arrived = self._clock.monotonic()
        team = caller.team
        headers = headers_module.caller_headers(request.headers)
        target = paths.service_target(request.rel_url)
        route = paths.route_for(team, target)
        body = await bodies.read_body(request, clock=self._clock)
        call = plain.PlainCall(
            request_id=request_id,
            method=request.method,
            path=target.path_and_query,
            headers=paths.forwarded_headers(request.headers),
            body=body,
        )
        identity = _identity(
            team,
            headers,
            request_id,
            (
                request.method.encode(),
                target.service.encode(),
                target.path_and_query.encode(),
                body,
            ),
        )
        return requests.PlainRequest(
            identity=identity,
            team=team,
            token_sha256=caller.token_sha256,
            route=route,
            call=call,
            priority=_priority(headers, route.priority),
            arrived=arrived,
            deadline=arrived + _time_allowed(headers, route.deadline_ms),
        )

    def _decode_chat(self, body: bytes) -> openai_schema.ChatRequest:
        try:
            chat = self._chat_decoder.decode(body)
        except msgspec.ValidationError as error:
            raise errors.CodedError(
                code=codes.Code.BAD_FIELD, detail=str(error)
            ) from error
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise errors.CodedError(
                code=codes.Code.BAD_JSON, detail=str(error)
            ) from error
        chat.check()
        return chat

    def _template(self, team: documents.Team, name: str) -> documents.Template:
        template = self._config.snapshot.template(team.name, name)
        if template is None:
            raise errors.CodedError(
                code=codes.Code.UNKNOWN_TEMPLATE,
                detail=f"model is {name[:100]!a}; GET /v1/models lists the"
                " team's templates",
            )
        return template


def _identity(
    team: documents.Team,
    headers: headers_module.CallerHeaders,
    request_id: str,
    content: tuple[bytes, ...],
) -> ledger.RequestIdentity:
    """Returns the identity that a request shares with its retries."""
    if not headers.idempotency_key:
        return ledger.RequestIdentity(
            team=team.name, key=request_id, given_by_caller=False
        )
    digest = xxhash.xxh3_128()
    for part in content:
        # Lengths distinguish two splits of the same bytes.
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return ledger.RequestIdentity(
        team=team.name,
        key=headers.idempotency_key,
        given_by_caller=True,
        body_digest=digest.hexdigest(),
    )


def _priority(headers: headers_module.CallerHeaders, highest: int) -> int:
    """Returns the caller's priority, at most the configured one."""
    if headers.priority is None:
        return highest
    return min(headers.priority, highest)


def _time_allowed(
    headers: headers_module.CallerHeaders, default_ms: int
) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=headers.deadline_ms or default_ms)
