"""A model engine (a backend server), as this system needs it."""

import abc
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import enum

import msgspec

# Raises `failures.WithheldError` where the request may not be sent any more.
SendCheck = Callable[[], None]


class ModelVersion(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A model and one of its versions; written `model@version`."""

    model: str
    version: str

    def __str__(self) -> str:
        """Returns the written form."""
        return f"{self.model}@{self.version}"

    @classmethod
    def parse(cls, text: str) -> "ModelVersion":
        """Reads the written form."""
        model, separator, version = text.partition("@")
        if not (model and separator and version):
            raise ValueError(
                f"model version is {text!r}; write it as 'model@version'"
            )
        return cls(model=model, version=version)


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One turn of a conversation."""

    role: str
    content: str


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to have an answer generated.

    Attributes:
        attempt_id: Unique to the attempt; each chunk repeats it.
        priority: Higher runs first.
        deadline_ms: Milliseconds from now after which the answer is useless.
        session: Sessions with equal names share cached prefixes; may be
            empty.
        resume_at_token: First token wanted, for resuming a cut stream of the
            same attempt on the same engine.
    """

    attempt_id: str
    model_version: ModelVersion
    messages: tuple[Message, ...]
    max_tokens: int
    priority: int = 0
    deadline_ms: int = 60_000
    session: str = ""
    resume_at_token: int = 0


class FinishReason(enum.Enum):
    """Why a generation ended."""

    STOP = "stop"
    LENGTH = "length"
    CANCELLED = "cancelled"
    FAILED = "failed"


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of an answer.

    Attributes:
        attempt_id: The attempt this chunk belongs to.
        token_index: Index of its first token; chunks follow without a gap.
        tokens: How many tokens it carries.
        finish: Set on the last chunk only.
        prompt_tokens: On the last chunk, the prompt's size.
        cached_tokens: On the last chunk, how much of it came from the cache.
        load: On the last chunk, the engine's load if it sends one along.
    """

    attempt_id: str
    token_index: int
    tokens: int
    text: str
    finish: FinishReason | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    load: "LoadReport | None" = None


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's report of its load, taken some time before.

    Attributes:
        loaded: The versions that it can serve now.
        running: Generations in its batch.
        waiting: Generations in its queue.
        capacity: Generations that its batch can hold.
        age_ms: How old the figures were when they were sent.
        leaving: It is shutting down and takes no new work.
    """

    loaded: tuple[ModelVersion, ...]
    running: int
    waiting: int
    capacity: int
    age_ms: float = 0.0
    leaving: bool = False


class OrderKind(enum.Enum):
    """Kinds of orders to an engine; each states a target, not a step."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order to an engine; orders are idempotent.

    Attributes:
        fencing_token: Never less than that of any earlier holder's order.
        target: The version to load or unload, or the role's name.
        secret: Checked by engines that authenticate orders; may be empty.
        ticket: For `LOAD`, the weight store's permission to download; empty if
            the engine needs none.
    """

    order_id: str
    kind: OrderKind
    target: str
    fencing_token: int
    secret: str = ""
    ticket: str = ""


class OrderState(enum.Enum):
    """The state of an order on its engine."""

    DONE = "done"
    IN_PROGRESS = "in_progress"
    FENCED = "fenced"
    FORBIDDEN = "forbidden"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt prefix entered or left an engine's cache.

    Sequence numbers count up by one; a jump means lost events.
    """

    sequence: int
    prefix_hash: str
    stored: bool


class Engine(abc.ABC):
    """One model engine instance.

    Every method may raise `failures.NotDoneError` (refused or unreachable,
    nothing ran) and `failures.OutcomeUnknownError` (it may be running).
    """

    @abc.abstractmethod
    def generate(self, generation: Generation) -> AsyncIterator[Chunk]:
        """Runs the generation and yields its chunks as they come."""

    async def generate_batches(
        self, generation: Generation, *, check_send: SendCheck | None = None
    ) -> AsyncIterator[list[Chunk]]:
        """Does the same, with chunks that arrive together in one list.

        For adapters whose connection hands over several chunks together: it
        saves the relay a step and a write for each of them.

        Args:
            generation: What to generate.
            check_send: Called after everything that takes time, in the same
                step of the event loop that writes the request's first byte.
        """
        if check_send is not None:
            check_send()
        async with contextlib.aclosing(self.generate(generation)) as chunks:
            async for chunk in chunks:
                yield [chunk]

    @abc.abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """Stops an attempt, if it still runs."""

    @abc.abstractmethod
    async def load_report(self) -> LoadReport:
        """Returns the engine's latest figures."""

    @abc.abstractmethod
    async def order(self, order: Order) -> OrderState:
        """Sends an order, or asks for the state of one sent under its id."""

    @abc.abstractmethod
    async def cache_events(self, after_sequence: int) -> list[CacheEvent]:
        """Returns the events after a sequence number that are still kept."""

    @abc.abstractmethod
    async def export_cache(self, prefix_hash: str) -> bytes | None:
        """Returns the KV cache of a prefix, if the engine has it."""

    @abc.abstractmethod
    async def import_cache(self, prefix_hash: str, content: bytes) -> None:
        """Sends the KV cache of a prefix to the engine."""


class EngineConnector(abc.ABC):
    """Reaches engines by their addresses."""

    @abc.abstractmethod
    def connect(self, address: str) -> Engine:
        """Returns the engine at `ip:port`; connects on first use."""
