"""Every check of a run detects a seeded defect."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.experiment import checks
from nutmeghook.experiment import history
from nutmeghook.experiment import workload

ANSWERED = history.TryOutcome.ANSWERED


def one_try(marker, **changes):
    fields = {
        "outcome": ANSWERED,
        "started_ms": 0.0,
        "ended_ms": 1.0,
        "instance": "a",
        "request_id": f"req-{marker}",
        "served_version": "m@1",
        "text": f"{marker}/m@1/0 {marker}/m@1/1/end ",
    }
    return history.Try(**(fields | changes))


def one_work(marker, *tries, **changes):
    fields = {
        "marker": marker,
        "kind": history.WorkKind.LOOKUP,
        "team": "t",
        "template": "x",
        "session": "",
        "key": f"key-{marker}",
        "streamed": False,
        "once": True,
        "tries": tries or (one_try(marker),),
    }
    return history.Work(**(fields | changes))


def evidence_of(works, **changes):
    """Returns the evidence of a faultless run, with a test's changes."""
    answered = [w for w in works if w.answers]
    fields = {
        "works": works,
        "runs": [
            checks.Run(
                request_id=f"req-{w.marker}",
                marker=w.marker,
                started_ms=0.0,
                model_version="m@1",
            )
            for w in answered
        ],
        "bills": [
            checks.ObservedBill(
                request_id=f"req-{w.marker}", team=w.team, key=w.key
            )
            for w in answered
        ],
        "withdrawals": [],
        "allowed": {"t": {"m"}},
    }
    return checks.Evidence(**(fields | changes))


def rules_broken(evidence):
    return {violation.rule for violation in checks.check_all(evidence)}


class ChecksTest(unittest.TestCase):
    """One seeded defect for each rule, and none in a faultless run."""

    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 40))
    def test_a_faultless_run_has_no_violation(self, seed, count):
        drawn = workload.Workload(
            randomness=random.Random(seed),
            run_name="t",
            agency_teams=("t",),
            airline_teams=("t",),
        )
        markers = [drawn.draw().marker for _ in range(count)]
        works = [one_work(marker) for marker in markers]
        self.assertEqual(rules_broken(evidence_of(works)), set())

    def test_lost(self):
        cut = one_try("a", outcome=history.TryOutcome.CUT)
        self.assertEqual(
            rules_broken(evidence_of([one_work("a", cut)])), {checks.Rule.LOST}
        )

    def test_doubled_and_crossed(self):
        work = one_work("a", one_try("a"), one_try("a", text="a/m@1/0/end "))
        self.assertEqual(
            rules_broken(evidence_of([work])), {checks.Rule.DOUBLED}
        )
        for text in ("b/m@1/0/end", "a/m@1/0 a/m@2/1/end", "a/m@1/0 a/m@1/2"):
            crossed = one_work("a", one_try("a", text=text))
            self.assertEqual(
                rules_broken(evidence_of([crossed])), {checks.Rule.CROSSED}
            )
        short = one_work("a", one_try("a", text="a/m@1/0 a/m@1/1"))
        self.assertEqual(
            rules_broken(evidence_of([short])), {checks.Rule.CUT_SHORT}
        )

    def test_ran_twice_and_false_not_run(self):
        run = checks.Run(request_id="req-a", marker="a", started_ms=0.0)
        again = checks.Run(request_id="req-a2", marker="a", started_ms=1.0)
        twice = evidence_of([one_work("a")], runs=[run, again])
        self.assertEqual(rules_broken(twice), {checks.Rule.RAN_TWICE})
        refused = one_try("a", outcome=history.TryOutcome.NOT_RUN)
        false_refusal = evidence_of([one_work("a", refused)], runs=[run])
        self.assertEqual(
            rules_broken(false_refusal), {checks.Rule.FALSE_NOT_RUN}
        )

    def test_bills_missing_and_doubled(self):
        missing = evidence_of([one_work("a")], bills=[])
        self.assertEqual(rules_broken(missing), {checks.Rule.BILL_MISSING})
        bill = checks.ObservedBill(request_id="req-a", team="t", key="key-a")
        other = checks.ObservedBill(request_id="req-b", team="t", key="key-a")
        for second in (bill, other):
            twice = evidence_of([one_work("a")], bills=[bill, second])
            self.assertEqual(rules_broken(twice), {checks.Rule.BILLED_TWICE})

    def test_not_allowed_and_after_withdrawal(self):
        foreign = evidence_of([one_work("a")], allowed={"t": {"other"}})
        self.assertEqual(rules_broken(foreign), {checks.Rule.NOT_ALLOWED})
        withdrawn = evidence_of(
            [one_work("a")],
            withdrawals=[
                checks.Withdrawal(
                    document="template/t/x",
                    model_version="m@1",
                    in_force_ms=-1.0,
                )
            ],
        )
        self.assertEqual(
            rules_broken(withdrawn), {checks.Rule.AFTER_WITHDRAWAL}
        )

    def test_a_session_moves_only_from_a_withdrawn_version(self):
        works = [
            one_work("a", session="s"),
            one_work(
                "b",
                one_try("b", served_version="m@2", started_ms=5.0),
                session="s",
            ),
        ]
        self.assertEqual(
            rules_broken(evidence_of(works)), {checks.Rule.SESSION_MOVED}
        )
        withdrawn = [
            checks.Withdrawal(
                document="fleet", model_version="m@1", in_force_ms=2.0
            )
        ]
        self.assertEqual(
            rules_broken(evidence_of(works, withdrawals=withdrawn)), set()
        )
