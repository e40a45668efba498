"""What logs and metrics say of a relayed request that ended badly."""

import unittest
from unittest import mock

import eliot

from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import observations
from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
# How much of a page one collector keeps.
KEPT_BYTES = 4000


class LoggedEndCase(relay_fixture.RelayCase):
    async def logged_end(self) -> dict[str, object]:
        """Requests a stream and returns the log entry of its end."""
        self.messages = []
        logs.start_with(self.messages.append)
        self.addCleanup(eliot.remove_destination, self.messages.append)
        await self.ask(STREAM, body=b"prompt")
        (ended,) = self.logged("request:ended")
        return ended

    def logged(self, message_type: str) -> list[dict[str, object]]:
        """Returns the lines of a type."""
        return [m for m in self.messages if m["message_type"] == message_type]


class CutAnswersTest(LoggedEndCase):
    async def test_neither_a_refusal_nor_a_whole_answer_is_logged_as_cut(self):
        self.reply_with(Reply(events=(0, 1)), Reply(status=503, not_run=True))
        for _ in range(2):
            ended = await self.logged_end()
            self.assertFalse(ended["cut"], ended)

    async def test_a_cut_answer_is_counted_and_logged_with_its_reason(self):
        """Each replica breaks off every run of a stream, so the caller's stream
        is cut. The reason is in a counter as well as in the log, since whoever
        looks for it later has only the collected metrics.
        """
        self.reply_with(Reply(events=tuple(range(10)), send_bytes=30))
        ended = await self.logged_end()
        self.assertTrue(ended["cut"])
        self.assertEqual(ended["configuration"], 1)
        page = self.metrics.render([])[0].decode()
        self.assertIn(
            'nutmeghook_answers_cut_total{reason="its outcome is unknown",'
            'route="stream"} 1',
            page,
        )


class FaultsTest(LoggedEndCase):
    async def test_the_trace_of_a_fault_names_its_request(self):
        """An internal error ends a request. Without the request's id, its trace
        can't be told from those of other requests that end in the same second.
        """
        self.reply_with(Reply(events=(0, 1)))
        with mock.patch.object(
            observations.AnswerObserver,
            "note_first_event",
            side_effect=ZeroDivisionError,
        ):
            await self.logged_end()
        (fault,) = self.logged("request:fault")
        self.assertEqual(fault["request"], "request-1")


class MetricsPageTest(unittest.TestCase):
    def test_counts_of_ended_requests_come_first_on_the_page(self):
        """A collector keeps the first 4,000 bytes of a page. Metrics without a
        value and histogram buckets must not push the counts of ended requests
        beyond them.
        """
        metrics = metrics_module.Metrics()
        for number in range(8):
            route = f"route-{number}"
            metrics.observe("relayed_seconds", 0.3, route=route)
            metrics.add("relayed_total", route=route, code="OK")
            metrics.add("answers_cut_total", route=route, reason="because")
        page = metrics.render([])[0].decode()
        for number in range(8):
            labels = f'route="route-{number}"'
            for label in ('reason="because"', 'code="OK"'):
                self.assertIn(f"{label},{labels}", page[:KEPT_BYTES])

    def test_metrics_without_a_value_are_left_out(self):
        metrics = metrics_module.Metrics()
        metrics.set("store_out", 0)
        page = metrics.render([])[0].decode()
        self.assertEqual(page.count("# HELP"), 1)
        self.assertIn("nutmeghook_store_out 0", page)


if __name__ == "__main__":
    unittest.main()
