"""The demo's report: a table for people, one JSON line for programs."""

import statistics

import msgspec

from nutmeghook.experiment import checks
from nutmeghook.experiment import history
from nutmeghook.internal.ledger import records
from nutmeghook.standins import answers


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """The last line of the demo's standard output.

    Attributes:
        exposed: Answers by the bad version that reached callers.
        cost: Price of all bills, in euros.
        spent: Cost of all attempts of billed requests, in euros.
        config_in_force_s: The slowest accepted change, from its submission
            until the last instance has confirmed it.
        violations: Of all rules.
        by_rule: Violations of each rule; those that the users count are
            repeated in the fields of the same names.
    """

    sent: int
    answered: int
    refused_not_run: int
    unknown: int
    lost: int
    doubled: int
    billed_missing: int
    billed_twice: int
    not_allowed: int
    after_withdrawal: int
    exposed: int
    cost: float
    spent: float
    tries: int
    p95_first_token_ms: float
    config_in_force_s: float
    drained_clean: bool
    rollout_stopped: bool
    violations: int
    by_rule: dict[str, int]

    def holds(self) -> bool:
        """Tells whether all checks passed."""
        return (
            self.violations == 0 and self.drained_clean and self.rollout_stopped
        )


MICROS_PER_EURO = 1_000_000
_MIN_FOR_P95 = 20


def summarize(
    *,
    works: list[history.Work],
    violations: list[checks.Violation],
    bills: list[records.FinishRecord],
    config_in_force_s: float,
    drained_clean: bool,
    rollout_stopped: bool,
) -> Summary:
    """Builds the summary of a run."""
    counts = {
        rule.value: sum(v.rule is rule for v in violations)
        for rule in checks.Rule
    }
    outcomes = [work.last.outcome for work in works]
    distinct = {(b.team, b.key): b for b in bills}.values()
    return Summary(
        sent=len(works),
        answered=outcomes.count(history.TryOutcome.ANSWERED),
        refused_not_run=outcomes.count(history.TryOutcome.NOT_RUN),
        unknown=outcomes.count(history.TryOutcome.UNKNOWN)
        + outcomes.count(history.TryOutcome.RAN),
        exposed=sum(_is_bad(answer) for w in works for answer in w.answers),
        cost=sum(b.cost_micros for b in distinct) / MICROS_PER_EURO,
        spent=sum(b.spent_micros for b in distinct) / MICROS_PER_EURO,
        tries=sum(len(work.tries) for work in works),
        p95_first_token_ms=first_token_p95_ms(works),
        config_in_force_s=config_in_force_s,
        drained_clean=drained_clean,
        rollout_stopped=rollout_stopped,
        violations=len(violations),
        by_rule=counts,
        lost=counts[checks.Rule.LOST.value],
        doubled=counts[checks.Rule.DOUBLED.value],
        billed_missing=counts[checks.Rule.BILL_MISSING.value],
        billed_twice=counts[checks.Rule.BILLED_TWICE.value],
        not_allowed=counts[checks.Rule.NOT_ALLOWED.value],
        after_withdrawal=counts[checks.Rule.AFTER_WITHDRAWAL.value],
    )


def first_token_p95_ms(works: list[history.Work]) -> float:
    """Returns the 95th percentile over the answered, streamed tries."""
    times = [
        answer.first_token_ms
        for work in works
        for answer in work.answers
        if work.streamed and answer.first_token_ms is not None
    ]
    if len(times) < _MIN_FOR_P95:
        return max(times, default=0.0)
    return statistics.quantiles(times, n=20)[-1]


def _is_bad(answer: history.Try) -> bool:
    return answers.BAD_SUFFIX in answer.text


def kinds_table(works: list[history.Work]) -> list[str]:
    """Returns one line per kind of work, with outcomes and times."""
    lines = [
        f"{'kind of work':16} {'sent':>6} {'answered':>9} {'not run':>8}"
        f" {'unknown':>8} {'tries':>6} {'p95 first token':>16}"
    ]
    for kind in history.WorkKind:
        of_kind = [work for work in works if work.kind is kind]
        last = [work.last.outcome for work in of_kind]
        lines.append(
            f"{kind.value:16} {len(of_kind):6}"
            f" {last.count(history.TryOutcome.ANSWERED):9}"
            f" {last.count(history.TryOutcome.NOT_RUN):8}"
            f" {last.count(history.TryOutcome.UNKNOWN):8}"
            f" {sum(len(work.tries) for work in of_kind):6}"
            f" {first_token_p95_ms(of_kind):13.0f} ms"
        )
    return lines
