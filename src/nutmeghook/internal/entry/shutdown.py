"""A graceful shutdown: stops new requests, then waits for the rest."""

import datetime

from nutmeghook.internal.dispatch import dispatcher as dispatcher_module
from nutmeghook.internal.entry import drain as drain_module
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import clock as clock_module


async def shut_down(
    *,
    clock: clock_module.Clock,
    drain: drain_module.Drain,
    listener: listener_module.Listener,
    dispatcher: dispatcher_module.Dispatcher,
    lag: datetime.timedelta,
) -> None:
    """Shuts down without interrupting a request; returns when all ended.

    Args:
        clock: Measures the lag.
        drain: Counts the requests in flight.
        listener: Stops accepting connections after the lag.
        dispatcher: May still work for callers that have disconnected.
        lag: How long the load balancer may send requests after `/readyz`
            has begun to fail.
    """
    drain.start_leaving()
    await clock.sleep(lag)
    drain.refuse()
    listener.stop_accepting()
    await drain.idle()
    await dispatcher.settled()
    await listener.stop()
