"""Every setting of `nutmeghook serve`.

Flags, environment variables, checks, `--print-settings` and the table in
docs/SETTINGS.md come from here.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """The format of a setting's text."""

    TEXT = "text"
    ADDRESS = "ip:port"
    ADDRESSES = "ip:port, separated by commas"
    URL = "http URL"
    COUNT = "whole number"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Spec:
    """One setting.

    Attributes:
        name: The name with underscores. The flag has dashes instead; the
            variable is in capitals after `NUTMEGHOOK_`.
        default: The default as text; None if the setting must be given.
        minimum: Smallest value of a count.
        maximum: Largest value of a count.
        secret: Masked wherever settings are printed.
    """

    name: str
    kind: Kind
    meaning: str
    default: str | None = None
    minimum: int = 0
    maximum: int = 2**31
    secret: bool = False

    @property
    def flag(self) -> str:
        """The command line's flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return "NUTMEGHOOK_" + self.name.upper()


SERVE_SPECS: tuple[Spec, ...] = (
    Spec(
        name="listen_address",
        kind=Kind.ADDRESS,
        meaning="Where callers and operators connect; port 0: any free one.",
        default="127.0.0.1:8080",
    ),
    Spec(
        name="inner_address",
        kind=Kind.ADDRESS,
        meaning="Where other instances connect, over TCP and UDP.",
        default="127.0.0.1:8081",
    ),
    Spec(
        name="region",
        kind=Kind.TEXT,
        meaning="The region this instance stands in.",
    ),
    Spec(
        name="data_centre",
        kind=Kind.TEXT,
        meaning="The data centre this instance stands in.",
    ),
    Spec(
        name="table_url",
        kind=Kind.URL,
        meaning="The platform's table service.",
    ),
    Spec(
        name="objects_url",
        kind=Kind.URL,
        meaning="The platform's object store.",
    ),
    Spec(
        name="instances_url",
        kind=Kind.URL,
        meaning="The platform's instance list.",
    ),
    Spec(
        name="ratings_url",
        kind=Kind.URL,
        meaning="The platform's rating service.",
    ),
    Spec(
        name="weights_url",
        kind=Kind.URL,
        meaning="The platform's weight store.",
    ),
    Spec(
        name="inner_credential",
        kind=Kind.TEXT,
        meaning="Shared by all instances; others are refused.",
        secret=True,
    ),
    Spec(
        name="administrator_token_sha256",
        kind=Kind.TEXT,
        meaning=(
            "SHA-256, in hex, of a token that may administer before any"
            " team has one; empty for none."
        ),
        default="",
    ),
    Spec(
        name="platform_team",
        kind=Kind.TEXT,
        meaning="The team whose administrators may change everything.",
        default="platform",
    ),
    Spec(
        name="orders_secret",
        kind=Kind.TEXT,
        meaning="Shown to engines that check who orders; may be empty.",
        default="",
        secret=True,
    ),
    Spec(
        name="seed_addresses",
        kind=Kind.ADDRESSES,
        meaning="Inner addresses to join by while the instance list is out.",
        default="",
    ),
    Spec(
        name="drain_lag_ms",
        kind=Kind.COUNT,
        meaning=(
            "How long the balancer may still send new requests after"
            " /readyz turned bad."
        ),
        default="3000",
        maximum=600_000,
    ),
    Spec(
        name="concurrent_requests",
        kind=Kind.COUNT,
        meaning="Most generations that run at once on this instance.",
        default="512",
        minimum=1,
    ),
    Spec(
        name="concurrent_plain_calls",
        kind=Kind.COUNT,
        meaning="Most calls of plain services at once on this instance.",
        default="512",
        minimum=1,
    ),
    Spec(
        name="queued_requests",
        kind=Kind.COUNT,
        meaning="Most generations, and most calls, that wait here to run.",
        default="1024",
    ),
    Spec(
        name="ledger_partitions",
        kind=Kind.COUNT,
        meaning="Partitions of the ledger; the same on all instances.",
        default="16",
        minimum=1,
        maximum=1024,
    ),
    Spec(
        name="ledger_writes_per_s",
        kind=Kind.COUNT,
        meaning="Row writes a second by all partitions together.",
        default="180",
        minimum=1,
    ),
    Spec(
        name="claim_retention_s",
        kind=Kind.COUNT,
        meaning="How long an idempotency key and a session are remembered.",
        default="3600",
        minimum=60,
    ),
    Spec(
        name="memory_mb",
        kind=Kind.COUNT,
        meaning="The instance's memory; an eighth is for callers' bytes.",
        default="1024",
        minimum=64,
    ),
    Spec(
        name="max_descriptors",
        kind=Kind.COUNT,
        meaning=(
            "Descriptors the process may have; beyond half of them idle"
            " connections of callers are closed for new ones."
        ),
        default="8192",
        minimum=64,
    ),
    Spec(
        name="event_ring_events",
        kind=Kind.COUNT,
        meaning="Events kept in memory for the time line.",
        default="8192",
        minimum=1,
    ),
)
