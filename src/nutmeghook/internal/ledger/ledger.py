"""The dispatcher's interface to claims and bills."""

import abc
import datetime
import enum

import msgspec


class RequestIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies a request across its retries.

    Attributes:
        key: The caller's idempotency key, or the id generated on arrival.
        given_by_caller: Whether a retry of it may arrive on any instance.
        body_digest: Hash of the request's content; a key used with another
            content is refused.
    """

    team: str
    key: str
    given_by_caller: bool
    body_digest: str = ""


class ClaimState(enum.Enum):
    """The outcome of a claim."""

    WON = "won"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    BODY_DIFFERS = "body_differs"


class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A finished request's answer, kept for its retries.

    Attributes:
        status: HTTP status of the answer.
        body: None where the answer was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


class ClaimResult(msgspec.Struct, frozen=True, kw_only=True):
    """The claim's state, and the kept answer if there is one."""

    state: ClaimState
    answer: KeptAnswer | None = None


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """What one request cost; the request is billed once.

    Attributes:
        cost_micros: Price of the answer given, in millionths of a euro.
        spent_micros: Cost of all attempts, those without an answer included.
    """

    identity: RequestIdentity
    request_id: str
    template: str
    model_version: str
    prompt_tokens: int
    output_tokens: int
    cost_micros: int
    spent_micros: int


class Ledger(abc.ABC):
    """Decides who runs a request, and records what it cost.

    All methods raise `errors.CodedError`: `STORE_OUT` if a claim can't be
    made (a claim in doubt is voided), `OVERLOADED` if no more claims can be
    kept, and `BILL_UNSETTLED` if a bill could not be made durable in time.
    """

    def accepting_work(self) -> bool:
        """Tells whether a bill of new work could be made durable in time.

        A ledger without limits always can.
        """
        return True

    @abc.abstractmethod
    async def claim(
        self,
        identity: RequestIdentity,
        *,
        request_id: str,
        timeout: datetime.timedelta,
    ) -> ClaimResult:
        """Claims the right to run a request; at most one caller wins."""

    @abc.abstractmethod
    async def release(
        self, identity: RequestIdentity, *, request_id: str
    ) -> None:
        """Releases a won claim; the work provably did not run."""

    @abc.abstractmethod
    async def finish(
        self,
        *,
        bill: Bill,
        answer: KeptAnswer | None,
        timeout: datetime.timedelta,
    ) -> None:
        """Makes the bill durable; the last byte is sent only after this.

        Args:
            bill: Recorded once, however often this is called.
            answer: Kept for retries; given only for claimed requests.
            timeout: The most that the caller can wait.
        """

    @abc.abstractmethod
    async def mark_unknown(
        self, identity: RequestIdentity, *, request_id: str
    ) -> None:
        """Records that a claimed request was sent and its outcome is lost."""
