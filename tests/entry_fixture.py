"""An HTTP listener in front of a fixture's dispatcher."""

import asyncio
from collections.abc import Callable

from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.config import tokens
from nutmeghook.internal.dispatch import dispatcher
from nutmeghook.internal.entry import application
from nutmeghook.internal.entry import drain as drain_module
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import identifiers
from nutmeghook.internal.observe import metrics
from tests import fakes

MAX_CONNECTIONS = 1000
MAX_BYTES = 32_000_000


def connections(
    clock: clock_module.Clock,
    *,
    max_connections: int = MAX_CONNECTIONS,
    bound_bytes: int = MAX_BYTES,
) -> connection_table.ConnectionTable:
    """Returns a table of callers' connections."""
    return connection_table.ConnectionTable(
        name="callers",
        max_connections=max_connections,
        bound_bytes=bound_bytes,
        metrics=metrics.Metrics(),
        clock=clock,
    )


def listener(
    fixture: fakes.Fixture,
    *,
    drain: drain_module.Drain | None = None,
    on: dispatcher.Dispatcher | None = None,
) -> listener_module.Listener:
    """Returns a listener for the fixture's dispatcher, not yet started."""
    return listener_module.Listener(
        application=application.build_application(
            clock=fixture.clock,
            config=fixture.config,
            tokens=tokens.TokenIndex(config=fixture.config),
            dispatcher=on or fixture.dispatcher(),
            drain=drain or drain_module.Drain(events=fixture.events),
            identifiers=identifiers.IdentifierSource(),
        ),
        connections=connections(fixture.clock),
    )


async def until(condition: Callable[[], object]):
    """Waits for a condition that depends on real connections."""
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not come true")
