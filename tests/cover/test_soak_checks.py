"""Each check of the soak finds its defect in a history made for it."""

import dataclasses
import unittest

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import platform_trial
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_copies
from nutmeghook.standins import users_replica

CALL = platform_checks.ObservedCall(
    request_id="id",
    kind="once",
    key="key",
    status=200,
    body=platform_checks.WHOLE_ANSWER,
    complete=True,
    sealed=True,
    sent_s=50.0,
    ended_s=50.2,
    router="router-1#1",
)
REQUEST = users_replica.ReceivedRequest(
    method="POST",
    target="/once/x",
    headers={"x-attempt-id": "id", "x-tenant": "team"},
    body=platform_checks.REQUEST_BODY,
    connection=1,
    arrived_s=50.1,
)
REMOVAL = soak_checks.KeyRemoval(key="key", from_s=45.0, to_s=60.0)


def injected_fault(**changes) -> soak_checks.InjectedFault:
    """Returns a fault of the call's router at its time, with changes."""
    fields = {"kind": "k", "router": "router-1", "from_s": 49.0, "to_s": 51.0}
    return soak_checks.InjectedFault(**(fields | changes))


def history(**changes) -> soak_checks.History:
    """Returns a history of one good call, with changes."""
    fields = {
        "calls": [CALL],
        "injected_faults": [],
        "removals": [],
        "received": {"r": [REQUEST]},
        "runs": {"id": 1},
        "broken": set(),
        "abandoned": set(),
        "leaving_since_s": {},
        "stop_statuses": [0],
    }
    return soak_checks.History(**(fields | changes))


class SoakChecksTest(unittest.TestCase):
    def assert_found(self, words: str, **changes) -> None:
        """Checks that exactly one violation with these words is found."""
        found = soak_checks.violations(history(**changes))
        self.assertEqual(len(found), 1, found)
        self.assertIn(words, found[0])

    def assert_nothing(self, **changes) -> None:
        """Checks that no violation is found."""
        self.assertEqual(soak_checks.violations(history(**changes)), [])

    def test_a_good_history_has_no_violations(self):
        self.assert_nothing()

    def test_a_second_run_of_what_may_run_once(self):
        self.assert_found("ran 2 times", runs={"id": 2})

    def test_a_refusal_as_not_run_that_is_false(self):
        refused = dataclasses.replace(CALL, status=503)
        self.assert_found("refused as not run", calls=[refused])

    def test_an_answer_lost_beside_copies(self):
        lost = dataclasses.replace(CALL, sent_body=soak_copies.BODY, status=502)
        found = soak_copies.violations(history(calls=[lost]))
        self.assertEqual(list(found), ["id ended with 502 beside copies"])
        cut = soak_checks.PathsCut(
            kind="reset",
            routers=frozenset({"router-1"}),
            from_s=50.1,
            to_s=55.0,
        )
        for changes in (
            {"injected_faults": [injected_fault()]},
            {"cuts": [cut]},
        ):
            excused = history(calls=[lost], **changes)
            self.assertEqual(list(soak_copies.violations(excused)), [])

    def test_a_partial_answer_that_ends_normally(self):
        part = dataclasses.replace(CALL, body=b"do")
        self.assert_found("partial answer that ended normally", calls=[part])

    def test_an_answer_without_a_seal(self):
        unsealed = dataclasses.replace(CALL, sealed=False)
        self.assert_found("without a seal", calls=[unsealed])

    def test_changed_requests(self):
        changed = {
            "nobody sent": {"headers": {"x-attempt-id": "other"}},
            "changed": {"body": b"promp"},
            "key was forwarded": {
                "headers": REQUEST.headers | {"authorization": "Token key"}
            },
            "without its team": {"headers": {"x-attempt-id": "id"}},
        }
        for words, fields in changed.items():
            request = dataclasses.replace(REQUEST, **fields)
            with self.subTest(words):
                self.assert_found(words, received={"r": [request]})

    def test_an_abandoned_request_is_no_violation(self):
        self.assert_nothing(calls=[], abandoned={"id"})

    def test_a_removed_key_that_is_admitted(self):
        self.assert_found("with a removed key", removals=[REMOVAL])
        late = soak_checks.violations(
            history(removals=[REMOVAL]), with_bounds=False
        )
        self.assertEqual(late, [])

    def test_a_removed_key_whose_request_reached_a_replica(self):
        denied = dataclasses.replace(CALL, status=401)
        self.assert_found(
            "with a removed key", calls=[denied], removals=[REMOVAL]
        )
        self.assert_nothing(
            calls=[denied], removals=[REMOVAL], runs={}, received={}
        )

    def test_the_bound_applies_only_to_routers_without_faults(self):
        self.assert_nothing(
            removals=[REMOVAL], injected_faults=[injected_fault()]
        )
        self.assert_found(
            "with a removed key",
            removals=[REMOVAL],
            injected_faults=[injected_fault(router="router-2")],
        )

    def test_a_removed_key_that_one_start_of_a_router_admits_again(self):
        """A fault excuses a late change, but not its reversion."""
        refused = dataclasses.replace(
            CALL, request_id="before", status=401, sent_s=46.0, ended_s=46.1
        )
        self.assert_found(
            "after its key was refused",
            calls=[refused, CALL],
            removals=[REMOVAL],
            injected_faults=[injected_fault()],
        )
        elsewhere = dataclasses.replace(refused, router="router-1#2")
        self.assert_nothing(
            calls=[elsewhere, CALL],
            removals=[REMOVAL],
            injected_faults=[injected_fault()],
        )

    def test_a_request_at_a_replica_that_has_left(self):
        self.assert_found("which had left", leaving_since_s={"r": 47.0})
        self.assert_nothing(leaving_since_s={"r": 48.0})
        self.assert_nothing(
            leaving_since_s={"r": 47.0}, injected_faults=[injected_fault()]
        )

    def test_a_request_at_an_evacuated_replica(self):
        place = {"data_centres": {"r": "annex"}}

        def emptied(from_s: float) -> dict:
            evacuation = soak_checks.Evacuation(
                data_centre="annex", from_s=from_s, to_s=60.0
            )
            return place | {"evacuations": [evacuation]}

        self.assert_found("an evacuated r", **emptied(40.0))
        self.assert_nothing(**emptied(48.0))
        self.assert_nothing(**emptied(40.0), injected_faults=[injected_fault()])

    def test_a_cold_replica_that_gets_too_many_requests(self):
        cold = soak_checks.ColdTime(replica_id="r", from_s=40.0, to_s=60.0)
        self.assert_found(
            "cold r got 20",
            cold=[cold],
            received={"r": [REQUEST] * 20},
        )
        self.assert_nothing(cold=[cold])

    def test_a_request_cut_by_a_graceful_stop(self):
        cut = dataclasses.replace(CALL, status=0, body=b"", complete=False)
        stop = injected_fault(is_stop=True, from_s=50.1)
        self.assert_found("graceful stop", calls=[cut], injected_faults=[stop])
        self.assert_nothing(calls=[cut], injected_faults=[stop], broken={"id"})
        self.assert_nothing(
            calls=[cut], injected_faults=[stop, injected_fault()]
        )

    def test_a_router_that_exits_with_an_error(self):
        self.assert_found("status 1", stop_statuses=[1])

    def test_a_slow_reader_that_is_cut(self):
        """It reads slowly, but never stops: only faults of its router or of
        replicas excuse that it does not get its whole answer.
        """
        whole = dataclasses.replace(
            CALL, kind="stream", sent_body=platform_checks.LONG_BODY
        )
        whole = dataclasses.replace(
            whole, body=platform_checks.whole_answer(whole)
        )
        cut = dataclasses.replace(whole, body=whole.body[:9000], complete=False)
        received = dataclasses.replace(
            REQUEST, target="/stream/x", body=whole.sent_body
        )
        fields = {"received": {"r": [received]}}
        self.assert_nothing(calls=[whole], **fields)
        for fault in ([], [injected_fault(kind="store busy", router="")]):
            self.assert_found(
                "read slowly, was cut after 9000 bytes",
                calls=[cut],
                injected_faults=fault,
                **fields,
            )
        self.assert_nothing(calls=[cut], broken={"id"}, **fields)
        crash = platform_trial.ReplicaCrash(
            replica_id="r", body=b"", at_s=CALL.ended_s
        )
        self.assert_nothing(calls=[cut], crashes=[crash], **fields)
        early = dataclasses.replace(crash, at_s=CALL.sent_s - 1.0)
        self.assert_found("read slowly", calls=[cut], crashes=[early], **fields)
        for fault in (
            injected_fault(),
            injected_fault(kind="replica crashes", router=""),
        ):
            self.assert_nothing(calls=[cut], injected_faults=[fault], **fields)
        self.assert_found(
            "partial answer that ended normally",
            calls=[dataclasses.replace(cut, complete=True)],
            **fields,
        )

    def test_a_request_of_the_surging_team_under_another_teams_name(self):
        """Its requests would count against the other team's share."""
        call = dataclasses.replace(CALL, key=soak_checks.SURGING_KEY)
        self.assert_found("without its team", calls=[call])
        named = REQUEST.headers | {"x-tenant": soak_checks.SURGING_TEAM}
        request = dataclasses.replace(REQUEST, headers=named)
        self.assert_nothing(calls=[call], received={"r": [request]})

    def test_a_cut_off_router_that_refuses_what_others_serve(self):
        cut = soak_checks.PathsCut(
            kind="silent",
            routers=frozenset({"router-2"}),
            from_s=46.0,
            to_s=51.0,
        )
        refused = [
            dataclasses.replace(
                CALL, request_id=f"{n}", status=503, router="router-2#1"
            )
            for n in range(20)
        ]
        self.assert_found("served 0 of 20", calls=[CALL, *refused], cuts=[cut])
        few = [CALL, *refused[:10]]
        found = soak_checks.violations(history(calls=few, cuts=[cut]))
        self.assertEqual(found, [])

    def test_more_retries_than_the_budget_allows(self):
        self.assert_found("arrivals of", received={"r": [REQUEST] * 60})

    def test_a_bad_version_that_runs_too_many_requests(self):
        self.assert_found("bad version ran", ordered_at_s=1.0, bad_runs=40)

    def test_a_bad_version_that_is_completed(self):
        self.assert_found(
            "was completed", ordered_at_s=1.0, final_state="completed"
        )


if __name__ == "__main__":
    unittest.main()
