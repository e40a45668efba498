"""Each check of replicas' signals finds its defect in a history made for it."""

import dataclasses
import unittest

from nutmeghook.experiment import platform_checks
from nutmeghook.experiment import soak_checks
from nutmeghook.experiment import soak_signal_checks
from nutmeghook.standins import users_replica
from tests.cover import test_soak_checks

REPLICA = "r"
PER_S = 1.0
LIMIT = soak_checks.StatedLimit(
    replica_id=REPLICA, per_s=PER_S, from_s=40.0, to_s=60.0
)


def call_at(number: int, sent_s: float) -> platform_checks.ObservedCall:
    """Returns a call of one router that is answered at once."""
    return dataclasses.replace(
        test_soak_checks.CALL,
        request_id=f"id-{number}",
        sent_s=sent_s,
        ended_s=sent_s + 0.1,
    )


def arrival_of(
    call: platform_checks.ObservedCall,
) -> users_replica.ReceivedRequest:
    """Returns a call's arrival at the replica, just after it was sent."""
    return dataclasses.replace(
        test_soak_checks.REQUEST,
        headers={"x-attempt-id": call.request_id, "x-tenant": "team"},
        arrived_s=call.sent_s,
    )


class SoakSignalChecksTest(unittest.TestCase):
    def found(self, moments_s: list[float], **changes) -> list[str]:
        """Returns the violations of calls sent at these times."""
        calls = [call_at(n, at) for n, at in enumerate(moments_s)]
        fields = {
            "calls": calls,
            "received": {REPLICA: [arrival_of(call) for call in calls]},
        }
        return soak_signal_checks.violations(
            test_soak_checks.history(**(fields | changes))
        )

    def test_requests_beyond_a_stated_limit(self):
        """The first is answered and tells the router; 12 follow for 11."""
        most = int(soak_checks.rate_limit_bound(PER_S))
        moments_s = [45.0] + [46.0 + 0.1 * n for n in range(most)]
        self.assertEqual(self.found(moments_s, stated_limits=[LIMIT]), [])
        found = self.found([*moments_s, 48.0], stated_limits=[LIMIT])
        self.assertEqual(len(found), 1)
        self.assertIn("takes 1.0 a second", found[0])

    def test_requests_of_a_router_that_was_not_told_do_not_count(self):
        moments_s = [45.0 + 0.01 * n for n in range(40)]
        self.assertEqual(self.found(moments_s, stated_limits=[LIMIT]), [])


if __name__ == "__main__":
    unittest.main()
