"""Rejections of requests by the relay itself."""

import datetime

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.relay import wire


class RejectedError(Exception):
    """The request ends with a response of the relay itself.

    Attributes:
        response: What the caller is told, and whether the work may have run.
        reason: A short name for logs and counters.
        code: Numbered result; None for the response's default.
        retry_after: When the caller is to retry.
    """

    def __init__(
        self,
        response: wire.FixedResponse,
        *,
        reason: str,
        retry_after: datetime.timedelta | None = None,
        code: codes.Code | None = None,
    ):
        super().__init__(reason)
        self.code = code
        self.response = response
        self.reason = reason
        self.retry_after = retry_after
