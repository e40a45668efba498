"""Effects of long outages at the planned size: of a region or the store."""

from bench.capacity import figures
from bench.capacity import outage_retries
from bench.capacity import planned
from nutmeghook.internal.ledger import settings as ledger_settings

REGION = "bad-region"
STORE = "bad-store"

_LEDGER = ledger_settings.LedgerSettings()
_HOUR_S = 3600


def cut_region(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the effects of an hour's network partition of a region."""
    inside = 1 / planned.REGIONS
    return [
        figures.row(
            REGION,
            "membership, the first minute, each node",
            facts.value("membership.cut_bytes_per_s"),
            "B/s",
            "measured with 63 instances",
            "membership/gossip",
            ("membership",),
        ),
        figures.row(
            REGION,
            "members agree again after",
            facts.value("membership.heal_s"),
            "s",
            "measured with 63 instances, cut for 6 minutes; not with 420",
            "membership/exchange",
            ("membership",),
        ),
        figures.row(
            REGION,
            "bytes a node meanwhile",
            facts.value("membership.heal_bytes_per_s"),
            "B/s",
            "likewise",
            "membership/exchange",
            ("membership",),
        ),
        figures.row(
            REGION,
            "the dead are remembered for",
            2 * _HOUR_S,
            "s",
            "dead_retention; longer than the cut",
            "membership/timing",
        ),
        figures.row(
            REGION,
            'keyed requests refused in the region, "not run"',
            100 * (1 - inside),
            "%",
            "partitions held outside; the store still reached",
            "ledger/sender",
            exceeds_budget=True,
        ),
        figures.row(
            REGION,
            "keyed requests refused in the two others",
            100 * inside,
            "%",
            "partitions held inside, if its holders reach the store",
            "ledger/sender",
            exceeds_budget=True,
        ),
        figures.row(
            REGION,
            "changes missed by an instance without store and peers",
            planned.CHANGES_PER_S * _HOUR_S,
            "changes",
            "read at once afterwards, from a peer or the log",
            "config/distribution",
        ),
        figures.row(
            REGION,
            "bytes of these",
            planned.CHANGES_PER_S
            * _HOUR_S
            * facts.value("footprint.change_row_bytes"),
            "B",
            "size of a change's row x changes",
            "config/exchange",
            ("footprint",),
        ),
    ]


def store_out(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the effects of an hour without the table service."""
    puts = _LEDGER.overflow_writes_per_s
    objects = puts * _HOUR_S
    bills = planned.REQUESTS_PER_S * _HOUR_S
    pause_s = planned.NODES / puts
    free = planned.TABLE_WRITES_PER_S - (
        planned.REQUESTS_PER_S / _LEDGER.fold_records
    )
    probes = planned.NODES / _LEDGER.probe_every.total_seconds()
    refused = planned.REQUESTS_PER_S * planned.KEYED_SHARE
    rates = outage_retries.retry_rates()
    return [
        figures.row(
            STORE,
            'keyed requests refused, "not run"',
            refused,
            "1/s",
            "all of them, for the hour",
            "ledger/client",
            exceeds_budget=True,
        ),
        figures.row(
            STORE,
            "their returns, if each caller keeps on for 30 s, at the worst",
            rates.peak,
            "1/s",
            "played by the real rule: half the outage's age, 1 to 20 s, spread",
            "ledger/store_health",
            exceeds_budget=True,
        ),
        figures.row(
            STORE,
            "the same once the outage has lasted for minutes",
            rates.late,
            "1/s",
            "likewise; each caller comes once more",
            "ledger/store_health",
            exceeds_budget=True,
        ),
        figures.row(
            STORE,
            "if nobody has a key: bills put in the object store",
            bills,
            "bills",
            "8,400 x 3,600",
            "ledger/overflow",
        ),
        figures.row(
            STORE,
            "in objects",
            objects,
            "objects",
            "overflow_writes_per_s = 150, x 3,600",
            "ledger/overflow",
        ),
        figures.row(
            STORE,
            "an answer's last byte waits for its bill, up to",
            pause_s,
            "s",
            "420 instances share 150 puts a second",
            "ledger/overflow",
        ),
        figures.row(
            STORE,
            "memory of an instance for this backlog",
            objects / planned.NODES * 120 / planned.MB,
            "MB",
            "keys only, about 120 bytes each",
            "ledger/overflow",
        ),
        figures.row(
            STORE,
            "catch-up after it, at the least",
            objects / free / 60,
            "min",
            "a delete for each object; 400 writes a second, less the folds",
            "ledger/overflow",
        ),
        figures.row(
            STORE,
            "records a second to the log meanwhile, beside the usual",
            bills / (objects / free),
            "1/s",
            "bills / catch-up",
            "ledger/partition",
        ),
        figures.row(
            STORE,
            "a holder's processor time for them",
            bills
            / (objects / free)
            / planned.PARTITIONS
            * facts.value("ledger.holder_cpu_us_per_record_of_20")
            * 1e-4,
            "% of a core",
            "records of 20 a message",
            "ledger/partition",
            ("ledger",),
        ),
        figures.row(
            STORE,
            "probes of the store while it is out",
            probes,
            "1/s",
            "420 / probe_every of 0.5 s",
            "ledger/store_health",
        ),
        figures.row(
            STORE,
            "heads read by instances that nobody keeps fresh",
            planned.NODES / 2,
            "1/s",
            "each 2 s at most",
            "config/distribution",
        ),
        figures.row(
            STORE,
            "reads of leases when it is back",
            planned.LEASES * 3,
            "1/s",
            "three candidates each",
            "leases/preference",
        ),
    ]


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns all figures of this module."""
    return [*cut_region(facts), *store_out(facts)]
