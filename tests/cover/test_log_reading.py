"""Log files are read whatever they contain."""

import ast
import collections
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.observe import log_decoding
from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import log_records
from nutmeghook.internal.observe import state_records
from tests import log_lines

SOURCES = pathlib.Path(__file__).parents[2] / "src" / "nutmeghook"
READABLE = log_lines.line("replica:gone", 5.0, replica="i-1").encode()
# Fields of every line, or set by the reader itself.
OF_ALL_LINES = {"event", "timestamp_s", "text"}

broken_lines = strategies.one_of(
    strategies.binary().map(lambda raw: raw.replace(b"\n", b"")),
    # A collector that keeps only a log's end may cut a line in two.
    strategies.integers(0, len(READABLE) - 1).map(
        lambda kept: READABLE[len(READABLE) - kept :]
    ),
    strategies.integers(0, len(READABLE) - 1).map(lambda end: READABLE[:end]),
    strategies.sampled_from(
        [
            b'{"message_type":"attempt:sent","request":7}',
            b'{"message_type":"replica:gone","timestamp":"soon"}',
            b'{"message_type":"x","timestamp":1e999}',
            b'{"message_type":"x","y":' + b"[" * 5000,
            b"null {} []",
        ]
    ),
)


def logged_fields() -> dict[str, set[str]]:
    """Returns the fields that the code logs with each event."""
    logged = collections.defaultdict(set)
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            first = node.args[0]
            if ast.unparse(node.func) == "logs.note" and isinstance(
                first, ast.Constant
            ):
                logged[first.value] |= {word.arg for word in node.keywords}
    return logged


class LogReadingTest(log_lines.LogCase):
    def read(self, *paths: str) -> log_reading.LogFiles:
        files = log_reading.LogFiles(paths=paths)
        self.lines = list(files.lines())
        return files

    def test_a_collectors_prefix_names_the_instance(self):
        text = log_lines.line("store:back", 1.0)
        for prefix, name in (
            ("", "file"),
            ("  26.3958 edge-catania-a-1 ", "edge-catania-a-1"),
            ("2026-01-01T00:00:00Z edge-1 ", "edge-1"),
            ("router-1  | ", "router-1"),
            ("[pod/router-1/main] ", "pod/router-1/main"),
            ("12:00:01.5 ", "file"),
        ):
            with self.subTest(prefix=prefix):
                files = self.read(self.write("file.log", [prefix + text]))
                self.assertEqual(len(self.lines), 1)
                self.assertEqual(list(files.names().values()), [name])

    def test_instances_of_one_name_are_told_apart_by_their_files(self):
        text = log_lines.line("store:back", 1.0)
        paths = [
            self.write("a/router.log", [text]),
            self.write("b/router.log", [text]),
        ]
        files = self.read(str(self.folder))
        self.assertEqual(sorted(files.names().values()), paths)

    def test_a_file_named_twice_is_read_once(self):
        path = self.write("a.log", [log_lines.line("store:back", 1.0)])
        self.read(str(self.folder), path)
        self.assertEqual(len(self.lines), 1)

    def test_a_missing_file_does_not_hide_the_others(self):
        path = self.write("a.log", [log_lines.line("store:back", 1.0)])
        missing = str(self.folder / "missing.log")
        files = self.read(missing, path)
        self.assertEqual(len(self.lines), 1)
        self.assertEqual(list(files.read_errors), [missing])

    def test_a_line_without_a_time_gets_the_previous_lines_time(self):
        files = self.read(
            self.write(
                "a.log",
                [
                    log_lines.line("store:away", 7.0, error="gone"),
                    log_lines.line("log:dropped", lines=12),
                ],
            )
        )
        self.assertEqual(self.lines[0].at_s, self.lines[1].at_s)
        (summary,) = files.summaries.values()
        self.assertEqual(summary.dropped_lines, 12)

    @hypothesis.given(
        strategies.lists(
            strategies.one_of(strategies.just(READABLE), broken_lines)
        )
    )
    def test_broken_lines_are_counted_and_hide_no_other(self, raws):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "a.log")
            path.write_bytes(b"".join(raw + b"\n" for raw in raws))
            files = log_reading.LogFiles(paths=[folder])
            lines = list(files.lines())
            unreadable = files.unreadable_lines[str(path)]
        whole = raws.count(READABLE)
        blank = sum(not raw.strip() for raw in raws)
        self.assertEqual(len(lines), whole)
        self.assertEqual(unreadable, len(raws) - whole - blank)


class RecordsTest(unittest.TestCase):
    def test_records_have_the_names_that_the_code_logs(self):
        """If a logged field is added or renamed, the commands that read logs
        would silently ignore it.
        """
        logged = logged_fields()
        for event, kind in log_decoding.TYPES.items():
            if kind is state_records.LinesDropped:
                # Written by the log writer itself.
                continue
            fields = {*kind.__struct_fields__} - OF_ALL_LINES
            with self.subTest(event=event):
                self.assertIn(event, logged)
                # None stands for fields passed as **fields.
                self.assertEqual(logged[event] - {None} - fields, set())

    def test_every_field_of_a_record_is_logged_by_something(self):
        logged = logged_fields()
        by_kind = collections.defaultdict(set)
        for event, kind in log_decoding.TYPES.items():
            by_kind[kind] |= logged[event]
        for kind, names in by_kind.items():
            if kind is state_records.LinesDropped or None in names:
                continue
            fields = {*kind.__struct_fields__} - OF_ALL_LINES
            with self.subTest(kind=kind.__name__):
                self.assertEqual(fields - names, set())

    def test_every_line_about_requests_has_a_type_of_its_own(self):
        about_requests = {
            event
            for event, fields in logged_fields().items()
            if "request" in fields
        }
        self.assertEqual(about_requests - log_decoding.TYPES.keys(), set())

    def test_an_unknown_line_about_a_request_is_kept_as_it_is(self):
        text = log_lines.line("attempt:new_kind", 1.0, request="a", why="b")
        record = log_decoding.decode(text.encode())
        self.assertIsInstance(record, log_records.OtherRequestRecord)
        self.assertEqual(record.text, text)


if __name__ == "__main__":
    unittest.main()
