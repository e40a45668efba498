"""Values on the wire that can't be read are ignored, counted and logged."""

import datetime
import re
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import log_limiter
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import unreadable_values
from nutmeghook.internal.routes import model
from nutmeghook.platform import headers
from nutmeghook.standins import users_replica
from tests import relay_fixture

# Headers of answers with the fact that each becomes.
ANSWER_HEADERS = {
    headers.LOAD: "load",
    headers.CONFIDENCE: "confidence",
    headers.COLD_LEFT: "cold_left",
    headers.IDLE_LIMIT: "idle_limit_s",
}
TEXTS = strategies.one_of(
    strategies.text(max_size=12),
    strategies.text(alphabet="0123456789,.-+e ", max_size=12),
    strategies.sampled_from(["", "1,2", "1,2,3,4,5", "nan", "1,2,3,0"]),
)


def counted(metrics: metrics_module.Metrics, field: str) -> int:
    """Returns the count of a field's values."""
    page, _ = metrics.render(())
    found = re.search(
        rf'unreadable_values_total{{field="{field}"}} (\d+)', page.decode()
    )
    return int(found[1]) if found else 0


class HeadersTest(unittest.TestCase):
    @given(name=strategies.sampled_from(sorted(ANSWER_HEADERS)), text=TEXTS)
    def test_each_value_of_an_answer_is_read_or_reported(self, name, text):
        facts = headers.PlatformHeaders().read_answer(200, [(name, text)])
        is_read = getattr(facts, ANSWER_HEADERS[name]) is not None
        reported = [value.field for value in facts.unreadable]
        self.assertTrue(is_read or reported == [name], facts)

    def test_counts_are_kept_beside_a_work_time_that_cannot_be_read(self):
        for text in ("", "-5", "nan", "1e9", "0", "fast"):
            facts = headers.PlatformHeaders().read_answer(
                200, [(headers.LOAD, f"3,1,12,{text}")]
            )
            self.assertEqual(facts.load.running, 3)
            self.assertIsNone(facts.load.work_time_percent)
            self.assertEqual(len(facts.unreadable), 1)

    def test_a_prompt_part_without_tokens_is_reported_beside_the_others(self):
        facts = headers.PlatformHeaders().read_caller(
            [
                (headers.TOKEN_COUNTS, "10,5"),
                (headers.PROMPT_PARTS, "aa:6,bb,cc:x,dd:4"),
            ]
        )
        self.assertEqual(len(facts.prompt.parts), 2)
        self.assertEqual([u.value for u in facts.unreadable], ["bb", "cc:x"])


class CountTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_value_is_counted_and_one_a_minute_is_logged(self):
        clock = clock_module.FakeClock()
        metrics = metrics_module.Metrics()
        values = unreadable_values.UnreadableValues(
            metrics=metrics, clock=clock
        )
        with mock.patch.object(logs, "note") as note:
            for _ in range(50):
                values.note("Load", "x", source="replica-1")
            values.note("Load", "x", source="replica-2")
            self.assertEqual(note.call_count, 2)
            await clock.advance(
                log_limiter.PERIOD + datetime.timedelta(seconds=1)
            )
            values.note("Load", "x" * 10_000, source="replica-1")
        self.assertEqual(note.call_count, 3)
        self.assertLess(len(note.call_args.kwargs["value"]), 1000)
        self.assertEqual(counted(metrics, "Load"), 52)


class RelayTest(relay_fixture.RelayCase):
    async def test_an_answer_with_a_load_that_cannot_be_read_is_delivered(self):
        for replica in self.replicas:
            replica.signals = ((headers.LOAD, "many"),)
        self.reply_with(users_replica.Reply())
        answer = await self.ask(model.RouteKind.IDEMPOTENT)
        self.assertEqual(relay_fixture.status_of(answer), 200)
        self.assertEqual(counted(self.metrics, headers.LOAD), 1)
