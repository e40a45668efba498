"""Checks of a run: one for each guarantee.

Each check compares what callers saw with the backend servers' logs and the
bills, and returns a violation for every contradiction. No check relies on an
instance's statements alone.
"""

from collections.abc import Iterable
import dataclasses
import enum

import msgspec

from nutmeghook.experiment import history
from nutmeghook.standins import answers

FLEET_DOCUMENT = "fleet"


class Rule(enum.Enum):
    """The guarantee that a violation breaks."""

    LOST = "lost"
    DOUBLED = "doubled"
    BILL_MISSING = "billed_missing"
    BILLED_TWICE = "billed_twice"
    NOT_ALLOWED = "not_allowed"
    AFTER_WITHDRAWAL = "after_withdrawal"
    SESSION_MOVED = "session_moved"
    FALSE_NOT_RUN = "false_not_run"
    RAN_TWICE = "ran_twice"
    CROSSED = "crossed"
    CUT_SHORT = "cut_short"
    REVERTED = "reverted"
    STEP_NOT_NOTED = "step_not_noted"
    NOT_IN_FORCE = "not_in_force"
    AFTER_LEAVING = "after_leaving"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Violation:
    """One contradiction between a guarantee and what was observed."""

    rule: Rule
    marker: str
    detail: str


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One execution, as a backend server logged it.

    Attributes:
        request_id: The instance's id of the request.
        marker: The work's marker, read from the prompt, path or body.
        model_version: Empty for a plain service.
    """

    request_id: str
    marker: str
    started_ms: float
    model_version: str = ""


class ObservedBill(msgspec.Struct, frozen=True, kw_only=True):
    """One bill, as read from the ledger."""

    request_id: str
    team: str
    key: str


class Withdrawal(msgspec.Struct, frozen=True, kw_only=True):
    """A version that may get no new work after a given time.

    Attributes:
        document: `template/TEAM/NAME`, or `fleet` for all templates.
    """

    document: str
    model_version: str
    in_force_ms: float


class ObservedRevision(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that an instance reported as in force.

    Attributes:
        asked_ms: When the request for it was sent.
    """

    instance: str
    asked_ms: float
    revision: int


class AcceptedRevision(msgspec.Struct, frozen=True, kw_only=True):
    """A committed change and when it must be in force."""

    revision: int
    in_force_ms: float


class Departure(msgspec.Struct, frozen=True, kw_only=True):
    """A leaving backend server and when it may get no more new work."""

    name: str
    runs: list[Run]
    no_work_from_ms: float


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """The input of the checks.

    Attributes:
        allowed: For each team, the models that it may use.
    """

    works: list[history.Work]
    runs: list[Run]
    bills: list[ObservedBill]
    withdrawals: list[Withdrawal]
    allowed: dict[str, set[str]]


def check_all(evidence: Evidence) -> list[Violation]:
    """Runs every check."""
    violations: list[Violation] = []
    for check in _CHECKS:
        violations.extend(check(evidence))
    return violations


def check_nothing_lost(evidence: Evidence) -> Iterable[Violation]:
    """Every piece of work ended in an answer or a definite error."""
    for work in evidence.works:
        if work.last.outcome is history.TryOutcome.CUT:
            yield Violation(
                rule=Rule.LOST,
                marker=work.marker,
                detail=f"no outcome after {len(work.tries)} tries",
            )


def check_answered_once(evidence: Evidence) -> Iterable[Violation]:
    """All answers under one idempotency key are the same."""
    for work in evidence.works:
        texts = {answer.text for answer in work.answers}
        if work.key and len(texts) > 1:
            yield Violation(
                rule=Rule.DOUBLED,
                marker=work.marker,
                detail=f"{len(texts)} different answers under one key",
            )


def check_own_answer(evidence: Evidence) -> Iterable[Violation]:
    """An answer is complete and belongs to its own work."""
    for work in evidence.works:
        for answer in work.answers:
            broken = _violated_rule(work, answer.text)
            if broken:
                yield Violation(
                    rule=broken,
                    marker=work.marker,
                    detail=f"the answer is {answer.text[:80]!r}",
                )


def _violated_rule(work: history.Work, text: str) -> Rule | None:
    if work.kind in history.PLAIN_KINDS:
        return None if work.marker in text else Rule.CROSSED
    try:
        seen = answers.parse_answer(text)
    except answers.DamagedAnswerError:
        return Rule.CROSSED
    if seen.marker != work.marker:
        return Rule.CROSSED
    return None if seen.whole else Rule.CUT_SHORT


def check_ran_once(evidence: Evidence) -> Iterable[Violation]:
    """Work that may not be repeated ran at most once."""
    runs: dict[str, int] = {}
    for run in evidence.runs:
        runs[run.marker] = runs.get(run.marker, 0) + 1
    for work in evidence.works:
        times = runs.get(work.marker, 0)
        if work.once and work.key and times > 1:
            yield Violation(
                rule=Rule.RAN_TWICE,
                marker=work.marker,
                detail=f"backend servers ran it {times} times",
            )


def check_not_run_is_true(evidence: Evidence) -> Iterable[Violation]:
    """A request refused as "not run" is in no backend server's log."""
    ran = {run.request_id for run in evidence.runs}
    for work in evidence.works:
        for attempt in work.tries:
            refused = attempt.outcome is history.TryOutcome.NOT_RUN
            if refused and attempt.request_id and attempt.request_id in ran:
                yield Violation(
                    rule=Rule.FALSE_NOT_RUN,
                    marker=work.marker,
                    detail=f"{attempt.request_id} was run",
                )


def check_billed_once(evidence: Evidence) -> Iterable[Violation]:
    """Every answered request has exactly one bill."""
    times: dict[str, int] = {}
    for bill in evidence.bills:
        times[bill.request_id] = times.get(bill.request_id, 0) + 1
    keyed = {(bill.team, bill.key) for bill in evidence.bills}
    for request_id, count in times.items():
        if count > 1:
            yield Violation(
                rule=Rule.BILLED_TWICE,
                marker=request_id,
                detail=f"{count} bills",
            )
    for work in evidence.works:
        for answer in work.answers:
            by_key = work.key and (work.team, work.key) in keyed
            if not by_key and answer.request_id not in times:
                yield Violation(
                    rule=Rule.BILL_MISSING,
                    marker=work.marker,
                    detail=f"{answer.request_id} was answered, not billed",
                )


def check_key_billed_once(evidence: Evidence) -> Iterable[Violation]:
    """One idempotency key never has two bills."""
    seen: set[tuple[str, str]] = set()
    for bill in evidence.bills:
        identity = (bill.team, bill.key)
        if identity in seen:
            yield Violation(
                rule=Rule.BILLED_TWICE,
                marker=bill.key,
                detail=f"a second bill is {bill.request_id}",
            )
        seen.add(identity)


def check_allowed(evidence: Evidence) -> Iterable[Violation]:
    """Runs are only on models that the team allows."""
    team_of = {work.marker: work.team for work in evidence.works}
    for run in evidence.runs:
        team = team_of.get(run.marker)
        model = run.model_version.partition("@")[0]
        if model and team and model not in evidence.allowed[team]:
            yield Violation(
                rule=Rule.NOT_ALLOWED,
                marker=run.marker,
                detail=f"{run.model_version} ran for {team}",
            )


def check_withdrawn(evidence: Evidence) -> Iterable[Violation]:
    """No run of a version started after its withdrawal was in force."""
    document_of = {
        work.marker: f"template/{work.team}/{work.template}"
        for work in evidence.works
    }
    in_force: dict[tuple[str, str], float] = {
        (w.document, w.model_version): w.in_force_ms
        for w in evidence.withdrawals
    }
    for run in evidence.runs:
        for document in (document_of.get(run.marker, ""), FLEET_DOCUMENT):
            limit_ms = in_force.get((document, run.model_version))
            if limit_ms is None or run.started_ms <= limit_ms:
                continue
            late_ms = run.started_ms - limit_ms
            yield Violation(
                rule=Rule.AFTER_WITHDRAWAL,
                marker=run.marker,
                detail=f"{run.model_version} ran {late_ms:.0f} ms late",
            )


def check_sessions_stay(evidence: Evidence) -> Iterable[Violation]:
    """All answers of one model in a session come from one version.

    A session moves away from a withdrawn version, so that change is no
    violation.
    """
    withdrawn = {w.model_version for w in evidence.withdrawals}
    pinned: dict[tuple[str, str, str, str], str] = {}
    for work in _in_order(evidence.works):
        for answer in work.answers:
            model = answer.served_version.partition("@")[0]
            if not (work.session and model):
                continue
            place = (work.team, work.template, work.session, model)
            before = pinned.setdefault(place, answer.served_version)
            if before == answer.served_version:
                continue
            pinned[place] = answer.served_version
            if before not in withdrawn:
                yield Violation(
                    rule=Rule.SESSION_MOVED,
                    marker=work.marker,
                    detail=f"{before} became {answer.served_version}",
                )


def check_revisions(
    reports: list[ObservedRevision],
    accepted: list[AcceptedRevision],
    *,
    frozen: frozenset[str] = frozenset(),
) -> Iterable[Violation]:
    """No instance reverts, and each has a change in force in time.

    Args:
        reports: In the order in which the instances answered.
        accepted: All committed changes.
        frozen: Instances that were stopped for a time. The time bound does
            not apply to them, but they may not revert either.
    """
    newest: dict[str, int] = {}
    for observed in reports:
        before = newest.get(observed.instance, 0)
        newest[observed.instance] = max(before, observed.revision)
        if observed.revision < before:
            yield Violation(
                rule=Rule.REVERTED,
                marker=observed.instance,
                detail=f"revision {before} became {observed.revision}",
            )
        due = _revision_due(accepted, observed.asked_ms)
        if observed.revision < due and observed.instance not in frozen:
            yield Violation(
                rule=Rule.NOT_IN_FORCE,
                marker=observed.instance,
                detail=f"{observed.revision} was in force, {due} was due",
            )


def _revision_due(accepted: list[AcceptedRevision], at_ms: float) -> int:
    due = [a.revision for a in accepted if a.in_force_ms < at_ms]
    return max(due, default=0)


def check_departures(departures: list[Departure]) -> Iterable[Violation]:
    """A leaving backend server's log shows no run that began too late."""
    for departure in departures:
        for run in departure.runs:
            late_ms = run.started_ms - departure.no_work_from_ms
            if late_ms > 0:
                yield Violation(
                    rule=Rule.AFTER_LEAVING,
                    marker=run.marker,
                    detail=f"{departure.name} got it {late_ms:.0f} ms late",
                )


def _in_order(works: list[history.Work]) -> list[history.Work]:
    return sorted(works, key=lambda work: work.tries[0].started_ms)


_CHECKS = (
    check_nothing_lost,
    check_answered_once,
    check_own_answer,
    check_ran_once,
    check_not_run_is_true,
    check_billed_once,
    check_key_billed_once,
    check_allowed,
    check_withdrawn,
    check_sessions_stay,
)
