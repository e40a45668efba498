"""Attempts' waits are joined from log lines in any order."""

import unittest

from nutmeghook.internal.observe import attempt_waits
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import relative_waits
from tests import log_lines


def answered(at_ms: float, after_ms: float, **changes) -> str:
    """Returns the line logged when an answer begins."""
    fields = {
        "request": log_lines.REQUEST,
        "attempt": 1,
        "replica": "i-1",
        "status": 200,
        "after_ms": after_ms,
    }
    return log_lines.line("attempt:answered", at_ms, **(fields | changes))


def left(at_ms: float) -> str:
    """Returns the line logged when a silent replica is given up."""
    return log_lines.line(
        "attempt:left",
        at_ms,
        request=log_lines.REQUEST,
        attempt=1,
        replica="i-1",
        dark=False,
        begun=False,
    )


def failed(at_ms: float, outcome: str) -> str:
    """Returns the line logged when an attempt fails."""
    return log_lines.line(
        "attempt:failed",
        at_ms,
        request=log_lines.REQUEST,
        attempt=1,
        outcome=outcome,
        error="seen",
    )


class AttemptWaitsTest(log_lines.LogCase):
    def waits(self, *texts: str) -> list[attempt_waits.Wait]:
        """Returns the waits of an instance's lines."""
        path = self.write("edge-1.log", list(texts))
        files = log_reading.LogFiles(paths=[path])
        return attempt_waits.gather(files.lines())

    def test_an_answer_is_joined_with_its_forecast(self):
        (wait,) = self.waits(
            log_lines.ended(70.0, route="chat"),
            answered(60.0, 55, replica_running=4, replica_waiting=2),
            log_lines.sent(5.0, waiting_ms=30, reading_ms=12, kept=0.5),
            log_lines.line(
                "replica:listed", 1.0, replica="i-1", service="models"
            ),
        )
        self.assertEqual((wait.waited_ms, wait.forecast_ms), (55, 42))
        self.assertEqual((wait.service, wait.route), ("models", "chat"))
        self.assertEqual((wait.running, wait.waiting), (4, 2))
        self.assertEqual(wait.configuration, 36)
        self.assertTrue(wait.is_answered)

    def test_an_abandoned_replica_counts_with_the_time_waited(self):
        (wait,) = self.waits(log_lines.sent(5.0), left(3005.0))
        self.assertAlmostEqual(wait.waited_ms, 3000.0, delta=0.1)
        self.assertTrue(wait.is_abandoned)
        self.assertFalse(wait.is_answered)

    def test_an_unanswered_request_waited_until_its_end(self):
        (wait,) = self.waits(log_lines.sent(5.0), log_lines.ended(405.0))
        self.assertAlmostEqual(wait.waited_ms, 400.0, delta=0.1)
        self.assertFalse(wait.is_answered)

    def test_a_failed_attempt_waited_until_its_failure(self):
        (wait,) = self.waits(
            log_lines.sent(5.0),
            failed(5005.0, "UnknownOutcomeError"),
            log_lines.ended(9000.0),
        )
        self.assertAlmostEqual(wait.waited_ms, 5000.0, delta=0.1)
        self.assertFalse(wait.is_answered)

    def test_failures_are_not_counted_as_waits(self):
        """A replica answers 500, or refuses connections, at once. Counted as
        quick answers, these would hide how slow the other answers are.
        """
        sent = log_lines.sent(5.0)
        end = log_lines.ended(9.0)
        self.assertEqual(self.waits(sent, answered(6.0, 1, status=500)), [])
        self.assertEqual(self.waits(sent, failed(6.0, "NotSentError"), end), [])
        self.assertEqual(self.waits(sent), [])
        self.assertEqual(self.waits(answered(6.0, 1), end), [])

    def test_a_reused_request_id_gives_two_waits(self):
        """A caller reuses its first request's id for the second. Each answer
        belongs to the latest `attempt:sent` line before it.
        """
        waits = self.waits(
            answered(1090.0, 90),
            log_lines.sent(1000.0, replica="i-2"),
            answered(60.0, 55),
            log_lines.sent(5.0),
        )
        self.assertEqual(
            [(wait.replica, wait.waited_ms) for wait in waits],
            [("i-1", 55), ("i-2", 90)],
        )

    def test_a_short_wait_without_an_answer_is_left_out(self):
        """A caller leaves after 5 ms, another one after 5 s, where answers
        take 50 ms. The first wait must not count as a quick answer.
        """
        texts = []
        for number in range(80):
            about = {"request": f"r-{number}", "replica": f"i-{number % 4}"}
            texts += [
                log_lines.sent(number, model=None, **about),
                answered(number + 50.0, 50, **about),
                log_lines.ended(number + 51.0, request=about["request"]),
            ]
        for request, waited_ms in (("short", 5.0), ("long", 5000.0)):
            texts += [
                log_lines.sent(40.0, model=None, request=request),
                log_lines.ended(40.0 + waited_ms, request=request),
            ]
        measured = relative_waits.measure(
            self.waits(*texts), relative_waits.Limits()
        )
        unanswered = [wait for wait in measured if not wait.wait.is_answered]
        self.assertEqual([wait.wait.request for wait in unanswered], ["long"])
        # With a tolerance of 20 ms: (5000 + 20) / (50 + 20).
        self.assertAlmostEqual(unanswered[0].factor, 71.7, delta=0.1)
        self.assertEqual(len(measured), 81)


if __name__ == "__main__":
    unittest.main()
