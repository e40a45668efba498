"""Answers of the administration API as text for a terminal."""

import datetime

import msgspec

from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import status as status_module
from nutmeghook.internal.config import faults
from nutmeghook.internal.config import in_force

_MAX_ADDRESSES = 6
_MAX_ROWS = 8
_MICROS_PER_EURO = 1_000_000


def operation(answer: bodies.OperationAnswer) -> str:
    """Returns an accepted operation and where it is in force."""
    record = answer.operation
    lines = [
        f"{record.outcome.value}: operation {record.operation_id}",
        f"revision {record.revision}, by {record.author}: {record.reason}",
    ]
    if answer.where is not None:
        lines += _where(answer.where)
    return "\n".join(lines)


def error(body: bodies.ErrorBody) -> str:
    """Returns an error with every fault, or with the conflicting change."""
    fields = body.error
    lines = [f"{fields.code} {fields.name}: {fields.message}"]
    record = body.operation
    if record is not None:
        lines[0] = f"{fields.code} {fields.name}, {record.outcome.value}"
        lines.append(f"operation {record.operation_id}")
        lines += [f"  {fault}" for fault in record.faults]
        if any(fault.waivable for fault in record.faults):
            lines.append("  to withdraw it all the same: --allow_unusable")
        if record.conflict is not None:
            lines += _conflict(record.conflict)
        elif not record.faults:
            lines.append(f"  {record.detail}")
    return "\n".join(lines)


def draft(answer: bodies.DraftAnswer) -> str:
    """Returns what a change would do, and its faults."""
    lines = [f"on revision {answer.revision} this would change:"]
    lines += _differences(answer.differences)
    if answer.faults:
        lines.append("it would be refused:")
        lines += [f"  {fault}" for fault in answer.faults]
    else:
        lines.append("it would be accepted")
    return "\n".join(lines)


def documents(answer: bodies.ListAnswer) -> str:
    """Returns the documents, one per line."""
    lines = [f"configuration revision {answer.configuration_revision}"]
    lines += [f"{d.revision:>8}  {d.document}" for d in answer.documents]
    return "\n".join(lines)


def document(answer: bodies.DocumentAnswer) -> str:
    """Returns a document as indented JSON, which `put` accepts."""
    plain = {
        name: value
        for name, value in msgspec.to_builtins(answer).items()
        if value is not None
    }
    return msgspec.json.format(msgspec.json.encode(plain)).decode()


def history(answer: bodies.HistoryAnswer) -> str:
    """Returns the changes, one per line."""
    lines = [_change(item) for item in answer.changes]
    if answer.continue_before:
        lines.append(f"go on with --before {answer.continue_before}")
    return "\n".join(lines) or "no changes"


def change(answer: bodies.ChangeAnswer) -> str:
    """Returns a change with its differences."""
    lines = [_change(answer.change), *_differences(answer.differences)]
    return "\n".join(lines)


def status(answer: status_module.StatusAnswer) -> str:
    """Returns the status for the next shift."""
    age = "never confirmed as the newest"
    if answer.confirmed_age_ms is not None:
        age = f"confirmed as the newest {answer.confirmed_age_ms} ms ago"
    sections = [
        f"revision {answer.revision}, {age}",
        *_where(answer.where),
        *_section(
            "rolling out",
            [
                f"{item.template}  {item.model_version}  "
                f"{item.share_percent:g} %, next {item.next_percent:g} %"
                for item in answer.rolling
            ],
        ),
        *_section(
            "withdrawn",
            [f"{i.model_version}  {i.document}" for i in answer.withdrawn],
        ),
        *_section("waiting", list(answer.waiting)),
        *_section("last changes", [_change(item) for item in answer.changes]),
    ]
    return "\n".join(sections)


def usage(answer: bodies.UsageAnswer) -> str:
    """Returns the totals, one team per line."""
    lines = [
        f"{'requests':>9} {'prompt tokens':>13} {'output tokens':>13} "
        f"{'cost EUR':>12} {'spent EUR':>12}  team"
    ]
    lines += [
        f"{item.requests:>9} {item.prompt_tokens:>13} {item.output_tokens:>13} "
        f"{item.cost_micros / _MICROS_PER_EURO:>12.6f} "
        f"{item.spent_micros / _MICROS_PER_EURO:>12.6f}  {item.team}"
        for item in answer.teams
    ]
    return "\n".join(lines) if answer.teams else "no bills"


def _section(title: str, lines: list[str]) -> list[str]:
    if not lines:
        return [f"{title}: none"]
    shown = [f"  {line}" for line in lines[:_MAX_ROWS]]
    if len(lines) > _MAX_ROWS:
        shown.append(f"  and {len(lines) - _MAX_ROWS} more; see --json")
    return [f"{title}:", *shown]


def _where(where: in_force.InForce) -> list[str]:
    total = len(where.in_force) + len(where.unconfirmed)
    lines = [f"in force on {len(where.in_force)} of {total} instances"]
    if where.unconfirmed:
        named = ", ".join(where.unconfirmed[:_MAX_ADDRESSES])
        more = len(where.unconfirmed) - _MAX_ADDRESSES
        if more > 0:
            named += f" and {more} more"
        lines.append(f"not yet confirmed by {named}")
    return lines


def _conflict(conflict: faults.Conflict) -> list[str]:
    return [
        f"  {conflict.document} was at revision {conflict.expected_revision} "
        f"when you read it and is at {conflict.current_revision} now",
        f"  changed by {conflict.author} in {conflict.operation_id or '-'}"
        f"{_at(conflict.accepted_at)}: {conflict.reason}",
        *_differences(conflict.differences),
        "  nothing was merged: read it anew, then decide",
    ]


def _differences(found: tuple[faults.Difference, ...]) -> list[str]:
    return [f"  {d.path}: {d.before} -> {d.after}" for d in found]


def _change(item: bodies.HistoryItem) -> str:
    return (
        f"{item.revision:>6}{_at(item.accepted_at)}  {item.author}: "
        f"{item.reason} ({', '.join(item.documents)})"
    )


def _at(moment: datetime.datetime | None) -> str:
    return "" if moment is None else f"  {moment:%Y-%m-%d %H:%M:%SZ}"
