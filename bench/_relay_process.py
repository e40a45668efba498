"""Processes of the relay benchmark: source, bare relay and request path.

`python -m bench._relay_process ROLE [SOURCE]` prints the port it listens on.
`GET /cpu` returns the processor time that the process has used, in seconds.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import random
import sys
import time

import aiohttp
from aiohttp import web
import msgspec
import uvloop

from bench import _relay_parts
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.config import view
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dispatch import dispatcher as dispatcher_module
from nutmeghook.internal.dispatch import meter as meter_module
from nutmeghook.internal.dispatch import ratings as ratings_module
from nutmeghook.internal.entry import application as application_module
from nutmeghook.internal.entry import drain as drain_module
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import identifiers
from nutmeghook.internal.limits import admission
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.routing import cascade_fixed
from nutmeghook.internal.standin_http import http_engine
from nutmeghook.internal.standin_http import http_exchange
from nutmeghook.internal.suspects import registry as registry_module

TOKEN = "benchmark"
TEMPLATE = "review"
TOKEN_TEXT = "boiler "
TOKEN_INTERVAL_S = 0.010
GENERATE = "/v1/generate"

_encoder = msgspec.json.Encoder()
_generation_decoder = msgspec.json.Decoder(engine.Generation)


async def source_handler(request: web.Request) -> web.StreamResponse:
    """Streams one token per line at a steady rate, the first at once."""
    generation = _generation_decoder.decode(await request.read())
    response = web.StreamResponse()
    await response.prepare(request)
    last = generation.max_tokens - 1
    for index in range(generation.max_tokens):
        if index:
            await asyncio.sleep(TOKEN_INTERVAL_S)
        chunk = engine.Chunk(
            attempt_id=generation.attempt_id,
            token_index=index,
            tokens=1,
            text=TOKEN_TEXT,
            finish=engine.FinishReason.STOP if index == last else None,
        )
        await response.write(_encoder.encode(chunk) + b"\n")
    await response.write_eof()
    return response


def bare_handler(
    session: aiohttp.ClientSession, source: str
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    """Returns the handler of a relay that only forwards bytes."""

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        url = f"http://{source}{GENERATE}"
        async with session.post(url, data=body) as upstream:
            response = web.StreamResponse(
                headers={"Content-Type": "text/event-stream"}
            )
            await response.prepare(request)
            async for piece in upstream.content.iter_any():
                await response.write(piece)
            await response.write_eof()
            return response

    return handle


def request_path(
    session: aiohttp.ClientSession, source: str
) -> web.Application:
    """Returns the whole request path with minimal policies."""
    clock = clock_module.SystemClock()
    events = events_module.EventRing(clock=clock)
    config = view.FixedConfigView(snapshot=_snapshot())
    meter = meter_module.NullMeter()
    dispatcher = dispatcher_module.Dispatcher(
        clock=clock,
        config=config,
        versions=_relay_parts.FirstVersion(),
        backends=_relay_parts.OneBackend(source),
        engines=http_engine.HttpEngineConnector(session=session),
        services=_relay_parts.NoService(),
        cascade=cascade_fixed.FixedCascade(),
        admission=admission.OpenAdmission(),
        plain_admission=admission.OpenAdmission(),
        retry_budgets=_relay_parts.NoRetries(),
        suspects=registry_module.SuspectRegistry(clock=clock),
        ledger=_relay_parts.InstantLedger(),
        ratings=ratings_module.RatingQueue(
            service=_relay_parts.NoRatings(), clock=clock, meter=meter
        ),
        events=events,
        meter=meter,
        random_source=random.Random(1),
    )
    return application_module.build_application(
        clock=clock,
        config=config,
        tokens=tokens_module.TokenIndex(config=config),
        dispatcher=dispatcher,
        drain=drain_module.Drain(events=events),
        identifiers=identifiers.IdentifierSource(),
    )


def _snapshot() -> documents.Snapshot:
    stage = documents.Stage(
        model="model", versions=(documents.VersionEntry(version="1"),)
    )
    template = documents.Template(
        team="team", name=TEMPLATE, stages=(stage,), max_tokens=10_000
    )
    entry = documents.TokenEntry(
        name="benchmark",
        role=documents.Role.CALLER,
        sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
    )
    team = documents.Team(
        name="team", tokens=(entry,), allowed_models=("model",)
    )
    return documents.Snapshot(
        revision=1,
        fleet=documents.Fleet(),
        teams={"team": team},
        templates={documents.template_key("team", TEMPLATE): template},
    )


async def _cpu(request: web.Request) -> web.Response:
    return web.Response(text=str(time.process_time()))


async def _serve(role: str, source: str) -> None:
    session = http_exchange.open_session()
    if role == "path":
        application = request_path(session, source)
    else:
        application = web.Application()
        handler = (
            source_handler
            if role == "source"
            else bare_handler(session, source)
        )
        application.router.add_post(GENERATE, handler)
    application.router.add_get("/cpu", _cpu)
    listener = listener_module.Listener(application=application)
    await listener.start(host="127.0.0.1", port=0)
    print(listener.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_serve(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
