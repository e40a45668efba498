"""The error type that carries a result code to the caller."""

import datetime

from nutmeghook.internal.foundation import codes


class CodedError(Exception):
    """An outcome other than success, as reported to the caller.

    Attributes:
        code: The numbered result.
        detail: What was wrong, with the value, and what to do about it.
        retry_after: Delay before a retry; None if a retry would not help.
        run_state: Whether the work ran. It is the code's own state unless the
            raiser has more exact knowledge (for example of a failover that
            ended before anything was sent).
    """

    def __init__(
        self,
        *,
        code: codes.Code,
        detail: str = "",
        retry_after: datetime.timedelta | None = None,
        run_state: codes.RunState | None = None,
    ):
        super().__init__(f"{code.number} {code.name}: {detail or code.meaning}")
        self.code = code
        self.detail = detail or code.meaning
        self.retry_after = retry_after
        self.run_state = run_state or code.run_state
