"""What logs and metrics tell of a relayed request that ended badly."""

import unittest

import eliot

from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import relay_fixture

STREAM = model.RouteKind.STREAM
Reply = users_replica.Reply
# What one collector keeps of a page.
KEPT_BYTES = 4000


class CutAnswersTest(relay_fixture.RelayCase):
    async def logged_end(self) -> dict[str, object]:
        """Asks for a stream and returns what was logged of its end."""
        messages = []
        logs.start_with(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        await self.ask(STREAM, body=b"prompt")
        (ended,) = [
            message
            for message in messages
            if message["message_type"] == "request:ended"
        ]
        return ended

    async def test_neither_a_refusal_nor_a_whole_answer_is_logged_as_cut(self):
        self.reply_with(Reply(events=(0, 1)), Reply(status=503, not_run=True))
        for _ in range(2):
            ended = await self.logged_end()
            self.assertFalse(ended["cut"], ended)

    async def test_a_cut_answer_is_counted_and_logged_with_its_reason(self):
        """Each replica breaks off every run of a stream.
        The caller's stream is cut; whoever looks for it later has only what
        was collected, so the reason is in a counter as well as in the log.
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


class MetricsPageTest(unittest.TestCase):
    def test_the_beginning_of_a_page_tells_how_requests_ended(self):
        """A collector keeps the first 4,000 bytes of a page.
        Metrics without a value and the buckets of histograms filled them; the
        counts of what became of requests came later and were lost.
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
