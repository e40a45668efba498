"""An attempt that is ready to be sent."""

import datetime

import msgspec

from nutmeghook.internal.relay import expected_times
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import replica_forecast
from nutmeghook.internal.routes import model
from nutmeghook.internal.upstream import sender as sender_module


class PreparedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that is ready to be sent.

    Attributes:
        forecast: When its answer is expected to begin; None for a request that
            is no generation.
        after_event: The event after which it resumes; None from the start.
        expected: How long it is expected to take; None if that is not known.
        begins_at_once: The replica had a free slot for it.
    """

    replica: replica_module.Replica
    outgoing: sender_module.Outgoing
    sent_at: datetime.timedelta
    route: model.Route
    model: str
    forecast: replica_forecast.Forecast | None
    after_event: str | None
    expected: expected_times.ExpectedTimes | None = None
    begins_at_once: bool = False
