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
from nutmeghook.internal.upstream import dialer as dialer_module
from nutmeghook.platform import settings as settings_module

# The settings file may change without a signal, and reading it is cheap.
_SETTINGS_POLL_PERIOD = datetime.timedelta(seconds=2)
_MILLISECOND = datetime.timedelta(milliseconds=1)

LoadSettings = Callable[[], settings_module.InstanceSettings]


async def serve(
    load: LoadSettings, *, dialer: dialer_module.Dialer | None = None
) -> int:
    """Serves until SIGTERM; returns the process's exit status.

    Args:
        load: Reads the settings, at the start and whenever they may have
            changed; raises an exception group of `SettingError`.
        dialer: Opens connections to replicas; None for TCP connections.
    """
    loop = asyncio.get_running_loop()
    writer = log_writer.BoundedLogWriter(
        descriptor=sys.stdout.fileno(), loop=loop
    )
    logs.start_with(writer)
    settings = load()
    clock = clock_module.SystemClock()
    router = router_module.Router(
        settings=settings, clock=clock, loop=loop, dialer=dialer
    )
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    # Without a handler a reload would end the process.
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await router.start()
    logs.note(
        "process:started",
        instance=settings.instance_id,
        data_centre=settings.data_centre,
        address=router.listener.address,
        metrics_address=router.metrics_address,
        cpu_ms=round(clock.processor_time() / _MILLISECOND),
    )
    running = asyncio.create_task(router.run())
    reloading = asyncio.create_task(
        _reload(router, settings, load, reload_requested, clock)
    )
    stopping = asyncio.create_task(stop_requested.wait())
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
    # The failure is repeated here: it was logged before the drain, and a log
    # collector that keeps only the last lines loses it.
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
    reload_requested: asyncio.Event,
    clock: clock_module.Clock,
) -> None:
    """Applies the settings file whenever it has changed, until cancelled."""
    while True:
        try:
            await clock.wait_for(reload_requested.wait(), _SETTINGS_POLL_PERIOD)
        except TimeoutError:
            signalled = False
        else:
            reload_requested.clear()
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
