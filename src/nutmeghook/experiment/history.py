"""What callers observed, recorded for the checks after a run."""

import enum
import pathlib

import msgspec


class WorkKind(enum.Enum):
    """The users' kinds of work."""

    LOOKUP = "lookup"
    LEGALITY_CHECK = "legality_check"
    DOSSIER_REVIEW = "dossier_review"
    FULL_REBUILD = "full_rebuild"
    PLAIN_READ = "plain_read"
    PLAIN_BOOKING = "plain_booking"


PLAIN_KINDS = frozenset({WorkKind.PLAIN_READ, WorkKind.PLAIN_BOOKING})


class TryOutcome(enum.Enum):
    """How one HTTP request ended, as far as its caller knows."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
    CUT = "cut"


class Try(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request; a piece of work may need several.

    Attributes:
        request_id: Assigned by the instance; empty if the caller got none.
        code_number: The result code of an error, else 0.
        served_version: The model and version that answered, if any.
    """

    outcome: TryOutcome
    started_ms: float
    ended_ms: float
    instance: str
    request_id: str = ""
    code_number: int = 0
    retry_after_ms: int = 0
    served_version: str = ""
    first_token_ms: float | None = None
    text: str = ""


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of work, from its first try to its end.

    Attributes:
        marker: Unique; the prompt or body carries it to the backend servers.
        key: The idempotency key, the same for all tries; may be empty.
        once: The work may run at most once.
    """

    marker: str
    kind: WorkKind
    team: str
    template: str
    session: str
    key: str
    streamed: bool
    once: bool
    tries: tuple[Try, ...]

    @property
    def last(self) -> Try:
        """The try that ended the work."""
        return self.tries[-1]

    @property
    def answers(self) -> list[Try]:
        """The tries that got a complete answer."""
        return [t for t in self.tries if t.outcome is TryOutcome.ANSWERED]


class History:
    """All pieces of work of a run, in the order in which they ended."""

    __slots__ = ("works",)

    def __init__(self):
        self.works: list[Work] = []

    def add(self, work: Work) -> None:
        """Adds a finished piece of work."""
        self.works.append(work)

    def write(self, path: pathlib.Path) -> None:
        """Writes one JSON line per piece of work."""
        lines = [msgspec.json.encode(work) for work in self.works]
        path.write_bytes(b"\n".join(lines) + b"\n")

    @classmethod
    def read(cls, path: pathlib.Path) -> "History":
        """Reads what `write` wrote."""
        history = cls()
        for line in path.read_bytes().splitlines():
            history.add(msgspec.json.decode(line, type=Work))
        return history
