"""A generation in a model engine stand-in, and its log entry."""

import asyncio
import datetime
import enum

import msgspec

from nutmeghook.internal.dependencies import engine
from nutmeghook.standins import answers


class RunRecord(msgspec.Struct, kw_only=True):
    """An entry of the engine's log: a generation that was started.

    Attributes:
        attempt_id: The router's id; it contains the request's id.
        marker: The marker in the prompt (`answers.marker_of`).
        started_ms: Wall time, in milliseconds since the epoch.
    """

    attempt_id: str
    model_version: str
    marker: str
    session: str
    started_ms: float
    bad: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    finish: engine.FinishReason | None = None


class RunState(enum.Enum):
    """State of a generation.

    `DROPPED` ended in the queue and never ran; `LOST` ended by a crash.
    """

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    DROPPED = "dropped"
    LOST = "lost"


class Run:
    """A generation and its tokens so far.

    Attributes:
        record: Its log entry, once it was started.
        answer_tokens: Length of the whole answer.
        ready_at: When prefill of its prompt ends.
        readers: Number of streams that read it now.
        unread_since: When the last reader closed its stream.
    """

    __slots__ = (
        "_changed",
        "answer_tokens",
        "deadline",
        "finish",
        "generation",
        "marker",
        "readers",
        "ready_at",
        "record",
        "state",
        "texts",
        "unread_since",
    )

    def __init__(
        self,
        *,
        generation: engine.Generation,
        answer_tokens: int,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ):
        self._changed = asyncio.Event()
        self.generation = generation
        self.marker = answers.marker_of(answers.prompt_of(generation))
        self.answer_tokens = answer_tokens
        self.deadline = deadline
        self.state = RunState.WAITING
        self.finish: engine.FinishReason | None = None
        self.record: RunRecord | None = None
        self.ready_at = now
        self.readers = 0
        self.unread_since = now
        self.texts: list[str] = []

    @property
    def ended(self) -> bool:
        """Whether no further token will be generated."""
        return self.state not in (RunState.WAITING, RunState.RUNNING)

    def add_token(self, *, bad: bool) -> None:
        """Generates the next token; the last one finishes the run."""
        index = len(self.texts)
        last = index + 1 >= self.answer_tokens
        self.texts.append(
            answers.token_text(
                marker=self.marker,
                model_version=self.generation.model_version,
                index=index,
                bad=bad,
                last=last,
            )
        )
        if last:
            self.end(RunState.FINISHED, engine.FinishReason.STOP)
        self.wake_readers()

    def end(
        self, state: RunState, finish: engine.FinishReason | None = None
    ) -> None:
        """Ends the run, unless it has ended already."""
        if self.ended:
            return
        self.state = state
        self.finish = finish
        if self.record is not None:
            self.record.finish = finish
            self.record.output_tokens = len(self.texts)
        self.wake_readers()

    async def changed(self) -> None:
        """Waits for the next token, or for the state to change."""
        await self._changed.wait()

    def wake_readers(self) -> None:
        """Wakes all tasks that wait in `changed`."""
        self._changed.set()
        self._changed = asyncio.Event()
