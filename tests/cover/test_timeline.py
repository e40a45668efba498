"""The timeline corrects clocks, keeps order and shows lost events."""

import datetime
import pathlib
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.foundation import clock
from nutmeghook.internal.observe import events
from nutmeghook.internal.observe import metrics
from nutmeghook.internal.observe import timeline

ROOT = pathlib.Path(__file__).resolve().parents[2]


def ring_with(count: int, capacity: int) -> events.EventRing:
    ring = events.EventRing(clock=clock.FakeClock(), capacity_events=capacity)
    for number in range(count):
        ring.record(events.EventKind.FIRST_TOKEN, f"req-{number}")
    return ring


class TimeLineTest(unittest.TestCase):
    """Merging and drawing."""

    @hypothesis.given(strategies.integers(0, 60), strategies.integers(1, 40))
    def test_kept_and_lost_events_add_up_to_all(self, count, capacity):
        kept = ring_with(count, capacity).since(0)
        entries = timeline.merge(
            [
                timeline.ProcessEvents(
                    process="a", offset_ms=0, uncertainty_ms=0, events=kept
                )
            ]
        )
        shown = sum(entry.event is not None for entry in entries)
        self.assertEqual(shown, min(count, capacity))
        self.assertEqual(shown + sum(e.lost for e in entries), count)

    @hypothesis.given(strategies.floats(-1e6, 1e6))
    def test_a_wrong_wall_clock_does_not_change_the_order(self, skew_ms):
        """Process b acts 5 ms after a, but its wall clock is off by any
        amount. With the measured offset, b still comes after a on the merged
        timeline.
        """

        def process(name, true_ms, skew):
            event = events.Event(
                sequence=1,
                monotonic_ms=0,
                wall_ms=true_ms + skew,
                kind=events.EventKind.CONFIG_APPLIED,
                subject="7",
                detail={},
            )
            return timeline.ProcessEvents(
                process=name,
                offset_ms=-skew,
                uncertainty_ms=1,
                events=[event],
            )

        merged = timeline.merge(
            [process("b", 105, skew_ms), process("a", 100, 0)]
        )
        self.assertEqual([e.process for e in merged], ["a", "b"])

    def test_filtering_by_subject_keeps_gaps_and_escapes_html(self):
        ring = ring_with(9, 4)
        ring.record(events.EventKind.CLAIM_WON, "<b>", request="req-8")
        entries = timeline.merge(
            [
                timeline.ProcessEvents(
                    process="<a>",
                    offset_ms=0,
                    uncertainty_ms=0,
                    events=ring.since(0),
                )
            ]
        )
        followed = timeline.filter_by_subject(entries, "req-8")
        self.assertEqual(len(followed), 3)
        page = timeline.html_page(entries, title="<t>")
        self.assertNotIn("<b>", page)
        self.assertNotIn("<a>", page)
        self.assertEqual(len(timeline.text_lines(followed)), 3)

    def test_events_carry_the_clock_they_were_given(self):
        fake = clock.FakeClock(
            start=datetime.datetime(2026, 5, 1, tzinfo=datetime.UTC)
        )
        ring = events.EventRing(clock=fake)
        ring.record(events.EventKind.STORE_OUT, "table")
        self.assertEqual(
            ring.since(0)[0].wall_ms, fake.now().timestamp() * 1000
        )

    def test_every_kind_of_event_is_recorded_by_something(self):
        """An operator would wait for an event that the pages name and that
        no module records.
        """
        package = ROOT / "src" / "nutmeghook"
        code = "".join(path.read_text() for path in package.rglob("*.py"))
        for kind in events.EventKind:
            self.assertIn(f"EventKind.{kind.name}", code)

    def test_the_metrics_page_matches_the_code(self):
        written = (ROOT / "docs" / "METRICS.md").read_text()
        self.assertEqual(written, metrics.page())
