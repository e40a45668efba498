"""A request's history is collected from the logs of all instances."""

import json
import pathlib
import tempfile
import unittest

import eliot
import hypothesis
from hypothesis import strategies

from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import logs
from nutmeghook.internal.observe import story as story_module
from nutmeghook.internal.observe import story_text
from nutmeghook.internal.routes import model
from nutmeghook.standins import users_replica
from tests import log_lines
from tests import relay_fixture

REQUEST = log_lines.REQUEST
ended = log_lines.ended
line = log_lines.line
sent = log_lines.sent

# A replica falls silent, and the key's permission is revoked before the
# replica is given up.
CUT_STREAM = [
    line("process:started", -9000.0, instance="edge-1", data_centre="here"),
    line("configuration:in_force", -8000.0, version=36, source="store"),
    line("replica:listed", -7000.0, replica="i-1", service="s", version="v2"),
    line("replica:listed", -7000.0, replica="i-9", service="s", version="v2"),
    line("store:away", -6000.0, error="no answer"),
    line("roll_out:plan", -5000.0, service="s", order=4, verdict="open"),
    line("roll_out:plan", -5000.0, service="t", order=5, verdict="open"),
    sent(2.0),
    line(
        "attempt:answered",
        40.0,
        request=REQUEST,
        attempt=1,
        replica="i-1",
        status=200,
        after_ms=38,
    ),
    sent(50.0, request="another"),
    line("configuration:in_force", 100.0, version=37, before=36, source="a"),
    line("replica:gone", 150.0, replica="i-9"),
    line("replica:leaving", 160.0, replica="i-1"),
    line("store:back", 200.0),
    line(
        "attempt:left",
        700.0,
        request=REQUEST,
        attempt=1,
        replica="i-1",
        dark=False,
        begun=True,
        after_event="17",
    ),
    line(
        "attempt:failed",
        700.0,
        request=REQUEST,
        attempt=1,
        outcome="AbandonedError",
        error="silent",
    ),
    ended(701.0, code=4000, outcome="taken away", cut=True, duration_ms=701),
    line("configuration:in_force", 900.0, version=38, before=37, source="a"),
]


def story_lines(*paths: str, request: str = REQUEST) -> list[str]:
    """Returns the lines that `story` prints for a request."""
    files = log_reading.LogFiles(paths=paths)
    return story_text.text_lines(story_module.gather(files, request))


class StoryTest(log_lines.LogCase):
    def test_a_cut_stream_is_printed_with_its_instances_state(self):
        """A stream that had begun is cut: its replica fell silent, and a
        further attempt was refused because the configuration had been replaced
        since the request was admitted. One log holds all of it.
        """
        path = self.write(
            "edge-1.log", [f" 1.5 edge-1 {text}" for text in CUT_STREAM]
        )
        self.assertEqual(
            story_lines(path),
            [
                f"request {REQUEST}, times from 2023-11-14 22:13:20.000+00:00",
                "# edge-1: 9.000 s before: process:started (instance=edge-1"
                " data_centre=here)",
                "# edge-1: 8.000 s before: configuration 36 put in force"
                " (source=store)",
                "# edge-1: 7.000 s before: replica:listed (replica=i-1"
                " service=s version=v2)",
                "# edge-1: 6.000 s before: store:away (error=no answer)",
                "# edge-1: 5.000 s before: roll_out:plan (service=s order=4"
                " verdict=open)",
                "         0.0 ms  edge-1  arrived, let in by configuration 36",
                "         2.0 ms  edge-1  attempt 1 sent to i-1 (version=v2"
                " model=small configuration=36 in_flight=3)",
                "        40.0 ms  edge-1  attempt 1 answered by i-1"
                " (status=200 after_ms=38)",
                "       100.0 ms  edge-1  | configuration 37 put in force"
                " (before=36 source=a); another than 36, which let the request"
                " in",
                "       160.0 ms  edge-1  | replica:leaving (replica=i-1)",
                "       200.0 ms  edge-1  | store:back",
                "       700.0 ms  edge-1  attempt 1 left: i-1 is silent, the"
                " answer had begun, goes on after event 17",
                "       700.0 ms  edge-1  attempt 1 failed, AbandonedError:"
                " silent",
                "       701.0 ms  edge-1  ended 4000 BACKEND_FAILED: taken"
                " away; the answer had begun and was CUT (route=stream"
                " attempts=1 configuration=36 duration_ms=701)",
            ],
        )

    def test_a_refused_request_leads_to_the_replica_that_asked_for_less(self):
        """No attempt was made, so only the replicas that the request was held
        back from tell why it was refused.
        """
        path = self.write(
            "edge-1.log",
            [
                line("process:started", -9000.0, instance="edge-1"),
                line(
                    "replica:rate_limit",
                    -700.0,
                    replica="i-1",
                    per_s=2.5,
                    source="peer",
                    age_ms=40,
                ),
                line("replica:rate_limit", -600.0, replica="i-9", per_s=1.0),
                line(
                    "request:held_back",
                    1.0,
                    request=REQUEST,
                    replicas=["i-1"],
                    signals=["rate_limit"],
                ),
                ended(2.0, code=3000, outcome="no replica", duration_ms=2),
            ],
        )
        text = "\n".join(story_lines(path))
        self.assertIn(
            "0.700 s before: replica:rate_limit (replica=i-1 per_s=2.5"
            " source=peer age_ms=40)",
            text,
        )
        self.assertIn("held back from i-1 (rate_limit)", text)
        self.assertNotIn("i-9", text)

    def test_a_log_that_begins_too_late_is_noted(self):
        """A collector kept only the end of the log: the request's arrival and
        the sending of its first attempt are missing.
        """
        path = self.write("edge-1.log", CUT_STREAM[-6:])
        text = "\n".join(story_lines(path))
        self.assertIn("log begins 0.160 s after the request arrived", text)
        self.assertIn("no line of the sending of attempt 1", text)

    def test_a_request_without_an_end_ends_at_the_next_start(self):
        """The process is killed and restarted; the new process's state has
        nothing to do with the request.
        """
        path = self.write(
            "edge-1.log",
            [
                sent(10.0),
                line("process:started", 3000.0, instance="edge-1"),
                line("configuration:in_force", 3010.0, version=40),
            ],
        )
        lines = story_lines(path)
        self.assertIn("no line of the request's end", "\n".join(lines))
        self.assertIn("| process:started", lines[-1])

    def test_the_admitting_configuration_is_not_inferred_from_retries(self):
        """The lines of the first attempt and of the end are missing. The
        second attempt may have been sent under a newer configuration than the
        one that admitted the request.
        """
        path = self.write(
            "edge-1.log",
            [
                line("configuration:in_force", 5.0, version=39, before=38),
                sent(9.0, attempt=2, configuration=38),
                line("configuration:in_force", 50.0, version=40, before=39),
            ],
        )
        last = story_lines(path)[-1]
        self.assertIn("not logged which one let the request in", last)

    def test_a_store_is_unreachable_until_a_line_says_it_is_back(self):
        path = self.write(
            "edge-1.log",
            [
                line("store:away", -90.0, error="no answer"),
                line("store:history_gone", -50.0, table="servers"),
                line("settings:applied", -40.0, signalled=True),
                sent(0.0),
                ended(20.0),
            ],
        )
        self.assertIn(
            "0.090 s before: store:away", "\n".join(story_lines(path))
        )

    def test_a_previous_processs_state_is_left_out(self):
        """The instance was restarted before the request arrived, so that the
        replica listed by the previous process was no longer known.
        """
        path = self.write(
            "edge-1.log",
            [
                line("replica:listed", -90.0, replica="i-1", service="s"),
                line("process:started", -50.0, instance="edge-1"),
                sent(0.0),
                ended(20.0),
            ],
        )
        text = "\n".join(story_lines(path))
        self.assertIn("0.050 s before: process:started", text)
        self.assertNotIn("replica:listed", text)

    def test_an_unknown_request_prints_nothing(self):
        path = self.write("edge-1.log", CUT_STREAM)
        self.assertEqual(story_lines(path, request="unheard"), [])

    def test_control_sequences_in_logs_are_escaped(self):
        path = self.write("a.log", [ended(1.0, outcome="a\x1b[2Jb\nc\u202e")])
        text = "\n".join(story_lines(path))
        self.assertIn("a\\x1b[2Jb\\nc\\u202e", text)

    def test_lines_of_two_instances_are_ordered_by_time(self):
        self.write("edge-1.log", [sent(9.0), ended(20.0)])
        self.write("edge-2.log", [sent(8.0), ended(30.0, duration_ms=30)])
        lines = story_lines(str(self.folder))
        self.assertIn("on 2 instances", lines[1])
        instances = [text.split()[2] for text in lines if text.startswith(" ")]
        # Both arrive at the same time; the later lines interleave.
        self.assertEqual(
            instances,
            ["edge-1", "edge-2", "edge-2", "edge-1", "edge-1", "edge-2"],
        )


@strategies.composite
def fleet_logs(draw) -> dict[str, list[str]]:
    """Draws logs of some instances that all may have seen one request.

    Wall clocks may be set back, and lines may be broken or lost.
    """
    logs_by_name = {}
    for number in range(draw(strategies.integers(1, 3))):
        at_ms = 0.0
        lines = []
        for attempt in range(1, draw(strategies.integers(0, 3)) + 1):
            at_ms += draw(strategies.floats(-50.0, 200.0))
            lines.append(sent(at_ms, attempt=attempt, replica=f"i-{attempt}"))
            lines += draw(strategies.lists(other_lines(at_ms), max_size=3))
        if lines and draw(strategies.booleans()):
            lines.append(ended(at_ms + 1.0, attempts=attempt))
        kept_from = draw(strategies.integers(0, 2))
        logs_by_name[f"edge-{number}"] = lines[kept_from:]
    return logs_by_name


def other_lines(at_ms: float) -> strategies.SearchStrategy[str]:
    """Returns lines between those of a request."""
    return strategies.sampled_from(
        [
            line("configuration:in_force", at_ms, version=37, before=36),
            line("replica:gone", at_ms, replica="i-1"),
            line("process:started", at_ms, instance="edge"),
            line("log:dropped", lines=3),
            sent(at_ms, request="another"),
            '{"message_type":"attempt:sent","requ',
            "Traceback (most recent call last):",
        ]
    )


class StoryPropertiesTest(unittest.TestCase):
    @hypothesis.given(fleet_logs(), strategies.randoms(use_true_random=False))
    def test_any_order_of_files_gives_the_same_lines(
        self, logs_by_name, random
    ):
        with tempfile.TemporaryDirectory() as folder:
            paths = _written(folder, logs_by_name)
            in_order = story_lines(*paths)
            random.shuffle(paths)
            self.assertEqual(story_lines(*paths), in_order)
            self.assertEqual(story_lines(folder), in_order)

    @hypothesis.given(fleet_logs())
    def test_attempts_of_an_instance_stay_in_order(self, logs_by_name):
        """An instance's wall clock is set back between two attempts; sorted by
        time alone, the second would come before the first.
        """
        with tempfile.TemporaryDirectory() as folder:
            _written(folder, logs_by_name)
            story = story_module.gather(
                log_reading.LogFiles(paths=[folder]), REQUEST
            )
        attempts = {trace.instance: [] for trace in story.traces}
        for trace, logged in story.lines():
            if isinstance(logged.record, log_records.AttemptSent):
                attempts[trace.instance].append(logged.record.attempt)
        for name, numbers in attempts.items():
            self.assertEqual(numbers, sorted(numbers))
            kept = "".join(logs_by_name[name])
            self.assertEqual(
                len(numbers), kept.count(f'"request": "{REQUEST}", "attempt"')
            )


def _written(folder: str, logs_by_name: dict[str, list[str]]) -> list[str]:
    paths = []
    for name, lines in logs_by_name.items():
        path = pathlib.Path(folder, f"{name}.log")
        path.write_text("".join(f"{text}\n" for text in lines))
        paths.append(str(path))
    return paths


def _traces_of(lines: list[str]) -> story_module.RequestTrace:
    """Returns a request's traces; every line must be readable."""
    with tempfile.TemporaryDirectory() as folder:
        _written(folder, {"edge-1": lines})
        files = log_reading.LogFiles(paths=[folder])
        story = story_module.gather(files, "request-1")
    if any(files.unreadable_lines.values()):
        raise AssertionError(f"unreadable: {files.unreadable_lines}")
    return story


class RealLinesTest(relay_fixture.RelayCase):
    async def test_the_relays_own_log_lines_are_decoded(self):
        """Every replica cuts off its stream, so the caller's is cut. The log
        lines are written by the relay itself.
        """
        self.reply_with(
            users_replica.Reply(events=tuple(range(10)), send_bytes=30)
        )
        messages = []
        logs.start_with(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        await self.ask(model.RouteKind.STREAM, body=b"prompt")
        story = _traces_of([json.dumps(message) for message in messages])
        (trace,) = story.traces
        kinds = [type(record) for record in trace.records]
        self.assertEqual(kinds[0], log_records.AttemptSent)
        self.assertEqual(kinds[-1], log_records.RequestEnded)
        self.assertIn(log_records.AttemptFailed, kinds)
        self.assertEqual(trace.missing_attempts, [])
        self.assertEqual(trace.admitted_by, 1)
        self.assertIn("was CUT", story_text.text_lines(story)[-1])


if __name__ == "__main__":
    unittest.main()
