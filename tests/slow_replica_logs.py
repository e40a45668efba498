"""Generated logs of a fleet whose replicas may be slow."""

from collections.abc import Callable
import dataclasses
import random

from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_reading
from tests import log_lines

DURATION_S = 20.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SentRequest:
    """A request's properties that its wait may depend on."""

    at_s: float
    replica: int
    instance: int
    version: str


def unchanged(sent: SentRequest) -> float:
    """Returns the factor 1 for every request."""
    del sent
    return 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Fleet:
    """A fleet under steady load.

    Attributes:
        slowness: The factor of a request's wait.
        prompt_factor: The factor of a request's prompt length, which its
            forecast includes.
        version: A replica's version.
        sent_by: The instance that sends to a replica, given the replica and a
            randomly chosen instance.
        spread: The standard deviation of the waits' logarithms.
        base_ms: A request's time in addition to the forecast.
        plain: The service is plain, so that nothing is forecast.
    """

    seed: int
    replicas: int = 31
    instances: int = 195
    answers_per_replica_s: float = 8.0
    duration_s: float = DURATION_S
    spread: float = 0.5
    base_ms: float = 30.0
    plain: bool = False
    slowness: Callable[[SentRequest], float] = unchanged
    prompt_factor: Callable[[SentRequest], float] = unchanged
    version: Callable[[int], str] = lambda _replica: "v1"
    sent_by: Callable[[int, int], int] = lambda _replica, instance: instance

    def texts(self) -> dict[str, list[str]]:
        """Returns the log lines of each instance, by its name."""
        source = random.Random(self.seed)
        texts: dict[str, list[str]] = {}
        count = int(
            self.replicas * self.answers_per_replica_s * self.duration_s
        )
        for number in range(count):
            replica = source.randrange(self.replicas)
            sent = SentRequest(
                at_s=source.uniform(0.0, self.duration_s),
                replica=replica,
                instance=self.sent_by(
                    replica, source.randrange(self.instances)
                ),
                version=self.version(replica),
            )
            lines = texts.setdefault(f"edge-{sent.instance}", [])
            lines += self._request(source, number, sent)
        for replica in range(self.replicas):
            texts.setdefault("edge-0", []).append(
                log_lines.line(
                    "replica:listed", 0.0, replica=f"i-{replica}", service="s"
                )
            )
        return texts

    def lines(self) -> list[log_reading.Line]:
        """Returns the lines as if read from one file per instance."""
        return [
            log_reading.Line(
                source=log_reading.Source(path=f"{name}.log", name=""),
                number=number,
                at_s=record.timestamp_s or 0.0,
                record=record,
            )
            for name, texts in self.texts().items()
            for number, record in enumerate(
                log_decoding.decode(text.encode()) for text in texts
            )
        ]

    def _request(
        self, source: random.Random, number: int, sent: SentRequest
    ) -> list[str]:
        """Returns the lines of a request.

        Waits are 1.4 times the forecast plus `base_ms`: a forecast error that
        all replicas have must make none of them slow.
        """
        model = None if self.plain else source.choice(["small", "large"])
        normal_ms = self.base_ms
        forecast = {}
        if model is not None:
            long = self.prompt_factor(sent)
            forecast = {
                "waiting_ms": round(source.lognormvariate(4.0, 1.5)),
                "reading_ms": round(long * source.lognormvariate(4.0, 1.0)),
                "kept": 0.5,
            }
            normal_ms += 1.4 * (forecast["waiting_ms"] + forecast["reading_ms"])
        noise = source.lognormvariate(0.0, self.spread)
        after_ms = normal_ms * noise * self.slowness(sent)
        common = {
            "request": f"r-{number}",
            "replica": f"i-{sent.replica}",
            "version": sent.version,
        }
        at_ms = sent.at_s * 1000.0
        return [
            log_lines.sent(at_ms, model=model, **common, **forecast),
            log_lines.line(
                "attempt:answered",
                at_ms + after_ms,
                attempt=1,
                status=200,
                after_ms=round(after_ms),
                replica_running=3,
                replica_waiting=0,
                **common,
            ),
            log_lines.ended(at_ms + after_ms + 10.0, request=common["request"]),
        ]
