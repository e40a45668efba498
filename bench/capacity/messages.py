"""Sizes of messages between instances and to the platform."""

import datetime

import msgspec

from bench import report
from bench.capacity import memory
from bench.capacity import samples
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import rows as config_rows
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner.generated import ttypes
from nutmeghook.internal.leases import rows as lease_rows
from nutmeghook.internal.ledger import ledger
from nutmeghook.internal.ledger import records
from nutmeghook.internal.observe import events

# The length field of a frame and the headers of TCP and IP.
FRAME_BYTES = 44
# First line and headers of a request and its response, as sent by aiohttp, with
# the TCP and IP headers of both.
HTTP_BYTES = 400
ENTRIES = (0, 5, 20, 80)
RECORDS = (1, 10, 50, 200)
EVENTS = (10, 100, 1000)


def lines() -> list[report.Line]:
    """Returns sizes as encoded by the real codecs, plus headers."""
    return [
        *_list_lines(),
        *[
            _line(f"digest_bytes.{entries}", _frame(_digest(entries)))
            for entries in ENTRIES
        ],
        *[_line(f"row_bytes.{count}", _row_bytes(count)) for count in RECORDS],
        *[
            _line(f"events_page_bytes.{count}", _events_page(count))
            for count in EVENTS
        ],
        *_ledger_lines(),
        *_other_lines(),
    ]


def _list_lines() -> list[report.Line]:
    return [
        _line(f"list_bytes.{count}", _list_bytes(count))
        for count in memory.REPLICAS
    ]


def _ledger_lines() -> list[report.Line]:
    won = records.ClaimReply(state=ledger.ClaimState.WON)
    pin = records.PinReply(model_version=str(samples.VERSION))
    answer_bytes = samples.ANSWER_BYTES
    exchanges = {
        "claim": (samples.claim_record(7), won),
        "bill": (
            samples.finish_record(7, given_by_caller=False),
            records.Recorded(),
        ),
        "bill_with_answer": (
            samples.finish_record(7, answer_bytes=answer_bytes),
            records.Recorded(),
        ),
        "pin": (samples.pin_request(7), pin),
    }
    return [
        _line(f"{name}_bytes", _append(request) + _results(result))
        for name, (request, result) in exchanges.items()
    ]


def _other_lines() -> list[report.Line]:
    take = ttypes.ExposureTake(
        team="team-17",
        template_name="template-170",
        model_version=str(samples.VERSION),
        answers=10,
        rollout_id=4711,
    )
    grant = ttypes.ExposureGrant(answers=5, valid_ms=60_000, rollout_id=4711)
    pull = ttypes.EventsPull(after_sequence=12_345)
    digest = ttypes.ConfigDigest(revision=12_345, confirmed_age_ms=800)
    return [
        _line("config_exchange_bytes", 2 * _frame(digest)),
        _line("leave_bytes", _frame(take) + _frame(grant)),
        _line("events_pull_bytes", _frame(pull)),
        _line("lease_renewal_bytes", _lease_renewal()),
        _line("load_report_bytes", _load_report()),
        _line("change_row_bytes", _change_row()),
    ]


def _line(name: str, value: float) -> report.Line:
    return report.Line(
        name=f"footprint.{name}", value=value, unit="bytes", bound=None
    )


def _frame(message) -> int:
    data = codec.encode(message, sequence=100_000, wants_reply=True).data
    return len(data) + FRAME_BYTES


def _append(request: records.Request) -> int:
    encoded = records.encoder.encode(request)
    return _frame(ttypes.LedgerAppend(partition=3, records=[encoded]))


def _results(result: records.Result) -> int:
    encoded = records.encoder.encode(result)
    return _frame(ttypes.LedgerResults(results=[encoded]))


def _list_bytes(count: int) -> int:
    rows = [samples.listed_engine(number) for number in range(count)]
    return len(msgspec.json.encode(rows)) + HTTP_BYTES


def _digest(entries: int) -> ttypes.LoadDigest:
    return ttypes.LoadDigest(
        addresses=[],
        address_hashes=list(range(700_000, 700_000 + entries)),
        in_flight=[number % 5 for number in range(entries)],
        sender_address=samples.member(1).inner_address,
    )


def _row_bytes(count: int) -> int:
    """Returns the size of a log row, half claims, half bills with answers."""
    batch = records.Batch(
        token=7,
        sequence=123_456,
        written_ms=1_764_000_000_000,
        records=tuple(
            samples.claim_record(number)
            if number % 2
            else samples.finish_record(
                number, answer_bytes=samples.ANSWER_BYTES
            )
            for number in range(count)
        ),
    )
    return len(records.encoder.encode(batch))


def _events_page(count: int) -> int:
    ring = events.EventRing(clock=clock_module.SystemClock())
    for number in range(count):
        samples.record_event(ring, number)
    page = ttypes.EventsPage(
        incarnation=samples.member(1).incarnation,
        events=msgspec.msgpack.encode(ring.since(0)),
        monotonic_ms=1.0,
        wall_ms=1.0,
    )
    return _frame(page)


def _lease_renewal() -> int:
    """Returns the size of the commit and its response over HTTP."""
    member = samples.member(7)
    row = lease_rows.LeaseRow(
        write_number=12_345,
        holder=member.incarnation,
        inner_address=member.inner_address,
        token=17,
        duration_ms=4000,
    )
    key = lease_rows.row_key("ledger/17")
    commit = table.Transaction(
        conditions=(table.Condition(key=key, version=123_456),),
        puts=(table.Put(key=key, value=lease_rows.encode(row)),),
    )
    answer = table.CommitResult(committed=True, versions=(123_457,))
    body_bytes = len(msgspec.json.encode(commit))
    return body_bytes + len(msgspec.json.encode(answer)) + HTTP_BYTES


def _load_report() -> int:
    """Returns the size of an engine's report over HTTP."""
    answer = engine.LoadReport(
        loaded=(samples.VERSION,), running=12, waiting=1, capacity=16
    )
    return len(msgspec.json.encode(answer)) + HTTP_BYTES


def _change_row() -> int:
    """Returns the size of the row of a change that replaces a template."""
    change = config_rows.Change(
        revision=12_345,
        operation_id="op-19ae3f2c0001d1-12345",
        author=config_rows.Author(team="team-17", name="operator-3"),
        reason="more of the new version to the night's lookups",
        accepted_at=datetime.datetime(2026, 12, 1, tzinfo=datetime.UTC),
        bases=(
            config_rows.BaseRevision(
                document="template/team-17/template-170", revision=12_000
            ),
        ),
        replacement=edits.Replacement(templates=(samples.template(170),)),
    )
    return len(msgspec.msgpack.encode(change))
