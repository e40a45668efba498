"""Slow replicas are found in logs, without false alarms."""

import dataclasses
import random
import statistics
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import relative_waits
from nutmeghook.internal.observe import slow_replicas
from nutmeghook.internal.observe import slow_replicas_text
from tests import log_lines
from tests import slow_replica_logs

Fleet = slow_replica_logs.Fleet
SentRequest = slow_replica_logs.SentRequest
Limits = relative_waits.Limits

SPELL_S = 6.5
SEEDS = strategies.integers(0, 2**32)
# A fleet's logs take about half a second, and no seed is simpler than another,
# so that shrinking would only take time.
FEW_EXAMPLES = hypothesis.settings(
    max_examples=8,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)


def slow_between(begin_s: float, end_s: float, *, times: float, replica: int):
    """Returns the `slowness` of a fleet in which one replica is slow."""

    def slowness(sent: SentRequest) -> float:
        is_slow = sent.replica == replica and begin_s <= sent.at_s < end_s
        return times if is_slow else 1.0

    return slowness


class SlowReplicasCase(log_lines.LogCase):
    """Checks for reports."""

    def assert_found(
        self,
        report: slow_replicas.Report,
        replica: int,
        begin_s: float,
        end_s: float,
    ) -> None:
        """Checks that only this period is found, its ends within 1 s."""
        self.assertEqual(
            [period.replica for period in report.slow], [f"i-{replica}"]
        )
        (period,) = report.slow
        first_s = period.waits[0].wait.sent_s - log_lines.START_S
        last_s = period.waits[-1].wait.sent_s - log_lines.START_S
        self.assertLess(abs(first_s - begin_s), 1.0)
        self.assertLess(abs(last_s - end_s), 1.0)
        self.assertEqual((report.slow_versions, report.instances), ([], []))

    def assert_nothing_slow(self, report: slow_replicas.Report) -> None:
        """Checks that nothing is reported, though over 99 % is compared."""
        self.assertEqual(
            (report.slow, report.slow_versions, report.instances), ([], [], [])
        )
        self.assertGreater(report.compared, 0.99 * report.waits)


class DetectionTest(SlowReplicasCase):
    @FEW_EXAMPLES
    @hypothesis.given(
        SEEDS, strategies.integers(0, 30), strategies.floats(3.0, 7.0)
    )
    def test_a_slow_replica_is_found_within_a_second(
        self, seed, replica, begin_s
    ):
        """One replica of 31 is five times as slow for 6.5 seconds. Each gets
        16 requests per second: with 8, in one run of a hundred none or only
        quick ones are sent there for a second (see docs/OPERATIONS.md).
        """
        end_s = begin_s + SPELL_S
        fleet = Fleet(
            seed=seed,
            answers_per_replica_s=16.0,
            duration_s=16.0,
            slowness=slow_between(begin_s, end_s, times=5.0, replica=replica),
        )
        report = slow_replicas.report(fleet.lines())
        self.assert_found(report, replica, begin_s, end_s)
        period = report.slow[0].waits
        factor = statistics.median(wait.factor for wait in period)
        self.assertTrue(3.5 < factor < 7.0, factor)

    def test_halved_and_doubled_limits_give_the_same_report(self):
        """With any limit halved or doubled, the same period is found, and
        nothing in steady logs. The replica is eight times as slow, because the
        doubled factor is five.
        """
        default_limits = Limits()
        slow = Fleet(
            seed=1, slowness=slow_between(8.0, 14.5, times=8.0, replica=4)
        ).lines()
        steady = Fleet(seed=2).lines()
        for field in dataclasses.fields(Limits):
            value = getattr(default_limits, field.name)
            for times in (0.5, 1.0, 2.0):
                changed = type(value)(value * times)
                limits = dataclasses.replace(
                    default_limits, **{field.name: changed}
                )
                with self.subTest(field=field.name, value=changed):
                    self.assert_nothing_slow(
                        slow_replicas.report(steady, limits)
                    )
                    report = slow_replicas.report(slow, limits)
                    self.assert_found(report, 4, 8.0, 14.5)

    def test_a_slow_plain_replica_is_found(self):
        """Plain services have no forecast, so one of four replicas is compared
        with the route's median wait.
        """
        fleet = Fleet(
            seed=3,
            replicas=4,
            plain=True,
            slowness=slow_between(8.0, 14.5, times=5.0, replica=2),
        )
        self.assert_found(slow_replicas.report(fleet.lines()), 2, 8.0, 14.5)

    def test_the_main_sender_of_a_slow_replica_is_not_slow(self):
        """An instance sends mostly to a slow replica, its nearest. Judged by
        most of its answers, it would be reported as slow itself.
        """
        fleet = Fleet(
            seed=13,
            sent_by=lambda replica, instance: 4 if replica == 2 else instance,
            slowness=slow_between(8.0, 14.5, times=5.0, replica=2),
        )
        self.assert_found(slow_replicas.report(fleet.lines()), 2, 8.0, 14.5)

    def test_a_replica_slow_during_an_overload_of_all_is_found(self):
        slow = slow_between(8.0, 14.5, times=5.0, replica=2)
        fleet = Fleet(
            seed=4,
            slowness=lambda sent: (
                slow(sent) * (4.0 if 5.0 < sent.at_s < 18.0 else 1.0)
            ),
        )
        self.assert_found(slow_replicas.report(fleet.lines()), 2, 8.0, 14.5)

    def test_abandoned_attempts_count_with_the_time_waited(self):
        """A replica stops answering; each request leaves it after three
        seconds. Judged by answers alone, it would not be found.
        """
        fleet = Fleet(
            seed=5, slowness=slow_between(8.0, 14.5, times=20.0, replica=2)
        )
        lines = []
        for line in fleet.lines():
            at_s = line.at_s - log_lines.START_S
            record = line.record
            is_answer = record.event == "attempt:answered"
            if is_answer and record.replica == "i-2" and record.after_ms > 900:
                text = log_lines.line(
                    "attempt:left",
                    at_s * 1000.0,
                    request=record.request,
                    attempt=1,
                    replica="i-2",
                    dark=False,
                    begun=False,
                )
                record = log_decoding.decode(text.encode())
                line = dataclasses.replace(line, record=record)
            lines.append(line)
        report = slow_replicas.report(lines)
        self.assert_found(report, 2, 8.0, 14.5)
        inner = [wait.wait for wait in report.slow[0].waits]
        self.assertGreater(sum(wait.is_abandoned for wait in inner), 20)
        self.assertGreater(sum(not wait.is_answered for wait in inner), 20)

    @FEW_EXAMPLES
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_the_order_of_files_and_lines_does_not_matter(self, source):
        fleet = Fleet(
            seed=6,
            replicas=6,
            instances=5,
            duration_s=10.0,
            slowness=slow_between(3.0, 8.0, times=6.0, replica=2),
        )
        in_order = slow_replicas.report(fleet.lines())
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, texts in fleet.texts().items():
                source.shuffle(texts)
                paths.append(f"{folder}/{name}.log")
                with open(paths[-1], "w") as file:
                    file.write("\n".join(texts))
            source.shuffle(paths)
            files = log_reading.LogFiles(paths=paths)
            report = slow_replicas.report(files.lines())
            text = slow_replicas_text.text_lines(report, files.names())
        self.assert_found(report, 2, 3.0, 8.0)
        plain_names = {
            log_reading.Source(path=f"edge-{n}.log", name=""): f"edge-{n}"
            for n in range(5)
        }
        self.assertEqual(
            text, slow_replicas_text.text_lines(in_order, plain_names)
        )


class FalseAlarmTest(SlowReplicasCase):
    @FEW_EXAMPLES
    @hypothesis.given(SEEDS, strategies.sampled_from([0.3, 0.5, 1.0]))
    def test_steady_logs_report_nothing(self, seed, spread):
        fleet = Fleet(seed=seed, spread=spread)
        self.assert_nothing_slow(slow_replicas.report(fleet.lines()))

    @FEW_EXAMPLES
    @hypothesis.given(SEEDS)
    def test_an_overload_of_all_is_no_slow_replica(self, seed):
        """All replicas are six times as slow for some seconds. Reporting any
        of them would mislead the operators.
        """
        fleet = Fleet(
            seed=seed,
            slowness=lambda sent: 6.0 if 8.3 < sent.at_s < 15.1 else 1.0,
        )
        self.assert_nothing_slow(slow_replicas.report(fleet.lines()))

    @FEW_EXAMPLES
    @hypothesis.given(SEEDS)
    def test_long_prompts_make_no_replica_slow(self, seed):
        """One replica gets prompts ten times as long, and one of a new version
        has no cached prompts. Their forecasts include that.
        """
        fleet = Fleet(
            seed=seed,
            version=lambda replica: "v2" if replica == 7 else "v1",
            prompt_factor=lambda sent: 10.0 if sent.replica in (3, 7) else 1.0,
        )
        self.assert_nothing_slow(slow_replicas.report(fleet.lines()))

    @FEW_EXAMPLES
    @hypothesis.given(SEEDS)
    def test_a_far_replica_of_a_quick_service_is_not_slow(self, seed):
        """Lookups take 2 ms, and 12 ms on a replica in another data centre:
        six times as long, but without any effect for callers.
        """
        fleet = Fleet(
            seed=seed,
            replicas=4,
            plain=True,
            base_ms=2.0,
            answers_per_replica_s=20.0,
            slowness=lambda sent: 6.0 if sent.replica == 3 else 1.0,
        )
        self.assert_nothing_slow(slow_replicas.report(fleet.lines()))

    @FEW_EXAMPLES
    @hypothesis.given(SEEDS)
    def test_a_slow_instance_is_reported_as_such(self, seed):
        """One of ten instances lacks CPU and sees every answer late. Three
        replicas get most of their requests from it. They are not slow, but
        judged by most of their answers they would be reported.
        """

        def sent_by(replica: int, instance: int) -> int:
            return 4 if replica < 3 and instance < 8 else instance

        fleet = Fleet(
            seed=seed,
            instances=10,
            sent_by=sent_by,
            slowness=lambda sent: 6.0 if sent.instance == 4 else 1.0,
        )
        report = slow_replicas.report(fleet.lines())
        self.assertEqual((report.slow, report.slow_versions), ([], []))
        self.assertEqual(
            {period.instance.path for period in report.instances},
            {"edge-4.log"},
        )

    def test_a_slow_version_is_told_apart_from_a_slow_replica(self):
        """A new version is five times as slow on each of its replicas, so
        that none of them is at fault by itself.
        """
        fleet = Fleet(
            seed=8,
            version=lambda replica: "v2" if replica < 4 else "v1",
            slowness=lambda sent: 5.0 if sent.version == "v2" else 1.0,
        )
        report = slow_replicas.report(fleet.lines())
        self.assertEqual(report.slow, [])
        self.assertEqual(
            {period.replica for period in report.slow_versions},
            {f"i-{replica}" for replica in range(4)},
        )
        text = "\n".join(slow_replicas_text.text_lines(report, {}))
        self.assertIn("not this replica alone", text)

    def test_few_answers_are_not_significant(self):
        """Two requests waited a hundred times too long on a replica that got
        few others. Two answers are too few to call it slow.
        """
        fleet = Fleet(seed=9, replicas=8, duration_s=5.0)
        lines = fleet.lines()
        few = Fleet(
            seed=10,
            replicas=1,
            instances=1,
            answers_per_replica_s=0.4,
            duration_s=5.0,
            slowness=lambda _sent: 100.0,
        )
        for line in few.lines():
            record = line.record
            if "replica" in record.__struct_fields__:
                record = msgspec.structs.replace(record, replica="i-few")
            source = log_reading.Source(path="edge-few.log", name="")
            lines.append(
                dataclasses.replace(line, source=source, record=record)
            )
        report = slow_replicas.report(lines)
        self.assertEqual(report.slow, [])
        self.assertEqual(report.too_few, {"i-few": 2})
        self.assertIn(
            "# too few answers to tell of 1 replicas: i-few (2)",
            slow_replicas_text.text_lines(report, {}),
        )


class TextTest(SlowReplicasCase):
    def test_a_slow_period_is_printed_with_its_details(self):
        fleet = Fleet(
            seed=11,
            replicas=6,
            instances=4,
            duration_s=12.0,
            slowness=slow_between(3.0, 9.0, times=6.0, replica=2),
        )
        for name, texts in fleet.texts().items():
            self.write(f"{name}.log", texts)
        files = log_reading.LogFiles(paths=[str(self.folder)])
        report = slow_replicas.report(files.lines())
        text = slow_replicas_text.text_lines(report, files.names())
        self.assertRegex(
            text[0],
            r"replica i-2 of s \(large, small\) was slow, 2023-11-14 22:13:2\d"
            r"\.\d{3}\+00:00 to 2023-11-14 22:13:2\d\.\d{3}\+00:00 \(\d\.\d s\)"
            r", \d\.\d times the usual \(waited \d+ ms, \d+ ms expected\)",
        )
        self.assertRegex(
            text[1],
            r"  \d+ requests in that time, 0 without an answer, 0 left it as"
            r" silent or dark; seen by 4 instances, one of them edge-0",
        )
        self.assertEqual(text[2], "  configuration 36; version v1")
        self.assertRegex(text[3], r"  waited there: r-\d+( r-\d+){4}$")
        self.assertEqual(
            text[4],
            "  its load by its own word: 3 running, 0 waiting; the others':"
            " 3 running, 0 waiting",
        )

    def test_replicas_that_no_log_lists_are_compared_with_listed_ones(self):
        """Collectors kept only the logs' ends, with one `replica:listed` line.
        The other replicas get their service from the models requested there;
        otherwise that one would have none to be compared with.
        """
        fleet = Fleet(
            seed=12, slowness=slow_between(8.0, 14.5, times=5.0, replica=2)
        )
        source = random.Random(0)
        lines = [
            line
            for line in fleet.lines()
            if line.record.event != "replica:listed"
            or line.record.replica == "i-2"
        ]
        source.shuffle(lines)
        report = slow_replicas.report(lines)
        self.assert_found(report, 2, 8.0, 14.5)
        self.assertEqual(report.slow[0].waits[0].wait.service, "s")


if __name__ == "__main__":
    unittest.main()
