"""Effects of failures at the planned size, up to a lost data centre."""

from bench.capacity import figures
from bench.capacity import planned

ORDINARY = "bad-ordinary"
RACK = "bad-rack"
CENTRE = "bad-data-centre"

_REMAINING_CENTRES = planned.DATA_CENTRES - 1
_LOAD_FACTOR = planned.DATA_CENTRES / _REMAINING_CENTRES


def ordinary_day(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the effects of a day's 89 failures and 360 replacements."""
    events = planned.FAILURES_PER_DAY + planned.REPLACEMENTS_PER_DAY
    lost_share = planned.LEASES / planned.NODES
    detect_s = facts.at("membership.detect_s", planned.NODES)
    take_over_s = facts.value("ledger.take_over_known_death_s")
    lapse_s = facts.value("ledger.take_over_by_lapse_s")
    waiting = planned.REQUESTS_PER_S * planned.KEYED_SHARE / planned.PARTITIONS
    streams = planned.NODE_STREAMS
    return [
        figures.row(
            ORDINARY,
            "leases that change holder",
            events * lost_share,
            "a day",
            "449 x 67 / 420",
            "leases/keeper",
        ),
        figures.row(
            ORDINARY,
            "streams cut by failures, at the peak",
            planned.FAILURES_PER_DAY * streams,
            "a day",
            f"89 x {streams:.0f} open streams",
            "entry/application",
        ),
        figures.row(
            ORDINARY,
            "streams cut by replacements",
            0.0,
            "a day",
            "drained first; bench `drain` and the demo's run are of that",
            "entry/shutdown",
        ),
        figures.row(
            ORDINARY,
            "a failure known to all after, at the worst",
            detect_s,
            "s",
            "fit at 420 nodes",
            "membership/detector",
            ("membership",),
        ),
        figures.row(
            ORDINARY,
            "a ledger partition without holder, by lapse",
            lapse_s,
            "s",
            "measured with an empty log; reading it comes on top",
            "leases/keeper",
            ("ledger",),
        ),
        figures.row(
            ORDINARY,
            "the same after a death that is known",
            take_over_s,
            "s",
            "likewise",
            "leases/keeper",
            ("ledger",),
        ),
        figures.row(
            ORDINARY,
            "claims that meet no holder, a failure of one",
            waiting * lapse_s,
            "claims",
            "131 a second x the lapse",
            "ledger/sender",
            ("ledger",),
        ),
    ]


def lost_rack(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the effects of losing a rack or its switch."""
    lost_share = planned.RACK_SHARE / planned.DATA_CENTRES
    return [
        figures.row(
            RACK,
            "entry instances lost at once",
            planned.NODES * lost_share,
            "instances",
            "420 / 90",
            "membership/detector",
        ),
        figures.row(
            RACK,
            "replicas lost at once",
            planned.REPLICAS * lost_share,
            "replicas",
            "4,400 / 90; ejected as attempts fail",
            "routing/ejection",
        ),
        figures.row(
            RACK,
            "leases without holder until taken over",
            planned.LEASES * lost_share,
            "leases",
            "67 / 90",
            "leases/preference",
        ),
        figures.row(
            RACK,
            "streams cut, at the peak",
            planned.NODES * lost_share * planned.NODE_STREAMS,
            "streams",
            "by the entry instances; those on the replicas fail over",
            "dispatch/stages",
        ),
        figures.row(
            RACK,
            "claims that meet no holder",
            planned.REQUESTS_PER_S
            * planned.KEYED_SHARE
            * lost_share
            * facts.value("ledger.take_over_by_lapse_s"),
            "claims",
            "8,400 / 90 a second x the lapse; reading the log not in it",
            "ledger/sender",
            ("ledger",),
        ),
    ]


def lost_data_centre(facts: figures.Facts) -> list[figures.Figure]:
    """Returns the effects of losing one of nine data centres."""
    tokens = planned.NODE_TOKENS_PER_S * _LOAD_FACTOR
    relay = tokens / facts.value("relay.tokens_per_core_s") * 100
    lost_nodes = planned.NODES / planned.DATA_CENTRES
    return [
        figures.row(
            CENTRE,
            "requests a node",
            planned.NODE_REQUESTS_PER_S * _LOAD_FACTOR,
            "1/s",
            "20 x 9 / 8",
            "limits/fair_admission",
        ),
        figures.row(
            CENTRE,
            "relay at a node",
            relay,
            "% of a core",
            f"{tokens:,.0f} tokens a second",
            "dispatch/generations",
            ("relay",),
        ),
        figures.row(
            CENTRE,
            "load of the remaining engines, at 80% before",
            80 * _LOAD_FACTOR,
            "% of their batches",
            "80 x 9 / 8; above, admission refuses by priority",
            "limits/adaptive_limit",
        ),
        figures.row(
            CENTRE,
            "entry instances lost at once",
            lost_nodes,
            "instances",
            "420 / 9; detection in parallel, see the ordinary day",
            "membership/detector",
        ),
        figures.row(
            CENTRE,
            "ledger partitions without holder until taken over",
            planned.PARTITIONS / planned.DATA_CENTRES,
            "partitions",
            "64 / 9",
            "leases/preference",
        ),
        figures.row(
            CENTRE,
            "part of the instance list gone at once",
            100 / planned.DATA_CENTRES,
            "%",
            "believed; over 40% (LIST_FAULT_SHARE) would not be",
            "routing/directory",
        ),
        figures.row(
            CENTRE,
            "sessions that lose their replica's cache",
            100 / planned.DATA_CENTRES,
            "%",
            "a ninth of each ring moves, no others",
            "routing/affinity",
        ),
    ]


def all_figures(facts: figures.Facts) -> list[figures.Figure]:
    """Returns all figures of this module."""
    return [
        *ordinary_day(facts),
        *lost_rack(facts),
        *lost_data_centre(facts),
    ]
