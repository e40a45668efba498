"""A graceful shutdown, from the balancer's view to the last request."""

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
    """Leaves without cutting a request; returns when all are finished.

    Args:
        clock: Measures the lag.
        drain: Counts what is under way.
        listener: The door to close.
        dispatcher: May still work for callers that are gone.
        lag: How long the balancer may go on sending requests after
            `/readyz` has begun to fail.
    """
    drain.start_leaving()
    await clock.sleep(lag)
    drain.refuse()
    listener.stop_accepting()
    await drain.idle()
    await dispatcher.settled()
    await listener.stop()
