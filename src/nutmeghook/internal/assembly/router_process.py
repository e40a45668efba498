"""Runs a router as a process: signals, settings file, logs."""

import asyncio
from collections.abc import Callable
import datetime
import signal
import sys
import traceback

from nutmeghook.internal.assembly import router as router_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_writer
from nutmeghook.internal.observe import logs
from nutmeghook.platform import settings as settings_module

# The settings file may change without a signal; a look at it costs next to
# nothing.
_LOOK_EVERY = datetime.timedelta(seconds=2)

LoadSettings = Callable[[], settings_module.InstanceSettings]


async def serve(load: LoadSettings) -> int:
    """Serves until SIGTERM; returns the process's exit status.

    Args:
        load: Reads the settings, at the start and whenever they may have
            changed; raises an exception group of `SettingError`.
    """
    loop = asyncio.get_running_loop()
    writer = log_writer.BoundedLogWriter(
        descriptor=sys.stdout.fileno(), loop=loop
    )
    logs.start_with(writer)
    settings = load()
    clock = clock_module.SystemClock()
    router = router_module.Router(settings=settings, clock=clock, loop=loop)
    told_to_stop = asyncio.Event()
    told_to_reload = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    # Without a handler a reload would end the process.
    loop.add_signal_handler(signal.SIGHUP, told_to_reload.set)
    await router.start()
    logs.note(
        "process:started",
        instance=settings.instance_id,
        data_centre=settings.data_centre,
        address=router.listener.address,
        metrics_address=router.metrics_address,
    )
    running = asyncio.create_task(router.run())
    reloading = asyncio.create_task(
        _reload(router, settings, load, told_to_reload, clock)
    )
    stopping = asyncio.create_task(told_to_stop.wait())
    await asyncio.wait(
        {running, reloading, stopping}, return_when=asyncio.FIRST_COMPLETED
    )
    failure = _failure_of(running) or _failure_of(reloading)
    if failure is not None:
        logs.note(
            "process:part_failed",
            failure=repr(failure),
            trace="".join(traceback.format_exception(failure)),
        )
    await router.leave()
    for task in (running, reloading, stopping):
        task.cancel()
    await asyncio.wait({running, reloading, stopping})
    await router.close()
    # Once more: what ended it was logged seconds before, ahead of all that was
    # still under way, and a collector that keeps the end of a log lost it.
    logs.note(
        "process:ended",
        failed=failure is not None,
        failure=None if failure is None else repr(failure),
    )
    writer.flush()
    return 1 if failure is not None else 0


def _failure_of(task: asyncio.Task) -> BaseException | None:
    return task.exception() if task.done() else None


async def _reload(
    router: router_module.Router,
    settings: settings_module.InstanceSettings,
    load: LoadSettings,
    told: asyncio.Event,
    clock: clock_module.Clock,
) -> None:
    """Applies the settings file whenever it has changed, until cancelled."""
    while True:
        try:
            await clock.wait_for(told.wait(), _LOOK_EVERY)
        except TimeoutError:
            signalled = False
        else:
            told.clear()
            signalled = True
        found = _loaded(load)
        if found is None or (found == settings and not signalled):
            continue
        settings = found
        router.apply(settings)
        logs.note("settings:applied", signalled=signalled)


def _loaded(
    load: LoadSettings,
) -> settings_module.InstanceSettings | None:
    """Returns the settings, or None after logging their faults."""
    try:
        return load()
    except* settings_module.SettingError as faults:
        logs.note(
            "settings:wrong",
            faults=[str(fault) for fault in faults.exceptions],
        )
    return None
