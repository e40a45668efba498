"""Parts of the emulated fleet: the clock, engines and instances.

The parts of an instance that make decisions are the production code.
"""

from collections.abc import Callable
import dataclasses
import datetime
import random

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import datagrams
from nutmeghook.internal.inner import sealed_messages
from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.replicas import backlog_gossip
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import entries
from nutmeghook.internal.replicas import load_gossip
from nutmeghook.internal.replicas import send_gate

SERVICE = "models"
_SEAL = datagrams.Seal(credential="emulated")


class VirtualClock(clock_module.Clock):
    """A clock whose time the emulator sets.

    Attributes:
        at_s: Seconds since its start.
    """

    __slots__ = ("at_s",)

    def __init__(self):
        self.at_s = 0.0

    def now(self) -> datetime.datetime:
        """Returns a fixed start time plus the time since."""
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC) + (
            self.monotonic()
        )

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the start."""
        return datetime.timedelta(seconds=self.at_s)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Always raises: the emulator has no tasks."""
        raise RuntimeError("the emulator has no tasks that could wait")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Load:
    """The load on the fleet and the fleet's size.

    Attributes:
        per_s: Requests a second, as a function of the time in seconds.
        replicas_at: Live replicas, as a function of the time in seconds.
        prefill_tokens_per_s: Of one engine, for each model, small to large.
        model_prices: Of each model, per 1,000 prompt tokens.
        prompt_tokens: Mean length of a prompt.
        data_centres: Instances of the same one exchange load reports.
    """

    per_s: Callable[[float], float]
    replicas_at: Callable[[float], int]
    duration_s: float
    instances: int = 24
    replicas: int = 12
    prefill_tokens_per_s: tuple[float, float] = (273_000.0, 27_300.0)
    model_prices: tuple[float, float] = (0.005, 0.07)
    prompt_tokens: int = 5000
    data_centres: int = 1


class Engine:
    """Prefills prompts one at a time, urgent ones first.

    Attributes:
        prefill_s: Total prefill time, including the prefill under way;
            generation pauses during prefill.
    """

    __slots__ = ("busy_until_s", "prefill_s", "queue", "running")

    def __init__(self):
        self.busy_until_s = 0.0
        self.prefill_s = 0.0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.running = 0


class Instance:
    """The parts of one instance that choose replicas and share load."""

    def __init__(self, *, number, load, clock, receivers, draw, chooser_type):
        self.directory = directory_module.ReplicaDirectory(clock=clock)
        for replica in range(load.replicas):
            self.directory.put(replica_entry(replica))
        self.chooser = chooser_type(
            gate=send_gate.OpenGate(),
            directory=self.directory,
            data_centre="here",
            clock=clock,
        )
        self.times = generation_times.GenerationTimes()
        messages = sealed_messages.SealedMessages(
            datagrams=_InstantDatagrams(receivers, str(number)), seal=_SEAL
        )
        self.gossip = load_gossip.ReplicaLoadGossip(
            directory=self.directory,
            messages=messages,
            local_addresses=lambda: [
                a
                for a in receivers
                if a != str(number)
                and (int(a) - number) % load.data_centres == 0
            ],
            clock=clock,
            random_source=draw,
        )
        self.backlogs = backlog_gossip.BacklogGossip(
            instance_id=str(number),
            directory=self.directory,
            messages=messages,
            sample_peers=lambda: _sample_peers(receivers, number, draw),
            clock=clock,
            random_source=draw,
        )


def _sample_peers(
    receivers: dict, number: int, draw: random.Random
) -> list[str]:
    """Returns random peers to which an instance sends its backlogs."""
    others = [address for address in receivers if address != str(number)]
    max_peers = backlog_gossip.LOCAL_FANOUT + round(
        backlog_gossip.REMOTE_FANOUT
    )
    return draw.sample(others, min(max_peers, len(others)))


class _InstantDatagrams(datagrams.Datagrams):
    """Delivers datagrams immediately."""

    def __init__(self, receivers, own):
        self._receivers = receivers
        self._own = own

    def set_receiver(self, receiver):
        self._receivers[self._own] = receiver

    def send(self, inner_address, data):
        self._receivers[inner_address](data)


def replica_entry(number: int) -> entries.ReplicaEntry:
    """Returns a replica's list entry."""
    return entries.ReplicaEntry(
        replica_id=str(number),
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        data_centre="here",
        version="v1",
        slots=32,
        leaving=False,
    )
