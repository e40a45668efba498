"""Runs one instance from its start to its graceful end."""

import asyncio
import signal

import msgspec

from nutmeghook.internal.assembly import instance as instance_module
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.observe import logs
from nutmeghook.internal.settings import loading

EXIT_DRAINED = 0
EXIT_FAILED = 1


class ReadyLine(msgspec.Struct, frozen=True, kw_only=True):
    """What is printed once the instance listens."""

    listen_address: str
    inner_address: str
    incarnation: str


async def serve(settings: loading.Settings) -> int:
    """Serves until SIGTERM or SIGINT; returns the process's exit status.

    If a background task fails, the instance drains and ends: the platform
    replaces instances, and one without that task could, for example, serve an
    old configuration for ever.
    """
    instance = instance_module.Instance(
        settings=settings, clock=clock.SystemClock()
    )
    address = await instance.start()
    line = ReadyLine(
        listen_address=address,
        inner_address=instance.inner_address,
        incarnation=instance.identifiers.incarnation,
    )
    print(msgspec.json.encode(line).decode(), flush=True)
    logs.note("instance:started", address=address)
    stop_requested = asyncio.create_task(_wait_for_stop_signal())
    running = asyncio.create_task(instance.run())
    await asyncio.wait(
        {stop_requested, running}, return_when=asyncio.FIRST_COMPLETED
    )
    failure = running.exception() if running.done() else None
    if failure is not None:
        logs.note("instance:part_failed", failure=repr(failure))
    await instance.leave()
    running.cancel()
    await asyncio.wait({running})
    await instance.close()
    logs.note("instance:ended", failed=failure is not None)
    return EXIT_FAILED if failure is not None else EXIT_DRAINED


async def _wait_for_stop_signal() -> None:
    """Returns when a signal asks the process to end."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
