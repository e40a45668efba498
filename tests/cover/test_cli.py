"""The command line as a new operator meets it."""

import contextlib
import io
import os
import tempfile
import unittest
from unittest import mock

from nutmeghook import cli
from nutmeghook.internal.administration import command_runner
from nutmeghook.internal.commands import log_reports
from tests import log_lines

COMMANDS = (
    "admin",
    "check_platform_settings",
    "check_settings",
    "endings",
    "load",
    "platform_demo",
    "serve",
    "slow_replicas",
    "story",
    "timeline",
    "version",
)


def printed(*arguments):
    """Returns all that a command printed, and its exit status."""
    out = io.StringIO()
    status = 0
    with (
        mock.patch("sys.argv", ["nutmeghook", *arguments]),
        mock.patch.dict(os.environ),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(out),
    ):
        try:
            cli.main()
        except SystemExit as ended:
            status = ended.code
    return out.getvalue(), status


class CommandLineTest(unittest.TestCase):
    def test_help_names_every_command(self):
        """A new operator asks for help and has to find all commands. Given
        the class and not an instance, fire listed `admin` alone.
        """
        text, status = printed("--help")
        self.assertEqual(status, 0)
        for command in COMMANDS:
            self.assertIn(f"\n     {command}\n", text)

    def test_help_of_admin_shows_nothing_of_the_library(self):
        """An operator asks for help and sees a group FIRE_METADATA, which is
        no command: fire listed the attribute in which it keeps how the
        class's flags are read.
        """
        text, status = printed("admin", "--help")
        self.assertEqual(status, 0)
        self.assertIn("--token", text)
        self.assertNotIn("GROUP", text)
        self.assertNotIn("FIRE", text)

    def test_a_token_that_looks_like_a_number_stays_as_it_is(self):
        """An operator's token is 1.10. Read as a number it would be sent as
        1.1, and the operator refused as unknown.
        """
        client = mock.Mock(side_effect=ValueError("no server"))
        with mock.patch.object(command_runner, "Client", client):
            printed("admin", "status", "--url=http://10.0.0.1", "--token=1.10")
        self.assertEqual(client.call_args.kwargs["token"], "1.10")

    def test_wrong_settings_end_before_anything_starts(self):
        text, status = printed("serve", "--listen-address=nowhere")
        self.assertEqual(status, cli.EXIT_WRONG_SETTINGS)
        self.assertIn("wrong setting: listen_address is 'nowhere'", text)
        self.assertIn("wrong setting: table_url is not set", text)

    def test_a_wrong_settings_file_of_the_platform_is_explained(self):
        """An operator checks a file with two faults before it goes out.
        Both are named with what is wanted, and the status is 2.
        """
        with tempfile.NamedTemporaryFile("w") as file:
            file.write('nodeName = 1\nip = "10.0.0.1"\n')
            file.flush()
            text, status = printed("check_platform_settings", file.name)
        self.assertEqual(status, 2)
        self.assertIn("nodeName is 1; give a text", text)
        self.assertIn("platform.address is missing", text)


class LogCommandsTest(log_lines.LogCase):
    """What commands about log files print, and their exit statuses."""

    def test_a_request_id_that_looks_like_a_number_stays_as_it_is(self):
        """A request's id is 1e5. Read as a number it would be looked for as
        100000.0, and its story not be found.
        """
        path = self.write("edge-1.log", [log_lines.ended(9.0, request="1e5")])
        text, status = printed("story", "1e5", path)
        self.assertFalse(status)
        self.assertIn("ended 1000 OK: answered", text)

    def test_endings_are_printed_beside_unreadable_lines_and_files(self):
        """One log was cut in the middle of a line, another one is not there.
        Both are told, and so is what the rest holds.
        """
        path = self.write("edge-1.log", [log_lines.ended(9.0), '{"request":"'])
        text, status = printed("endings", path, f"{path}.missing")
        self.assertFalse(status)
        self.assertIn("answered", text)
        self.assertIn(f"{path}: 1 lines unreadable", text)
        self.assertIn(f"{path}.missing: No such file", text)

    def test_slow_replicas_are_told_beside_unreadable_lines(self):
        """A log was cut in the middle of a line. What it still tells is
        little, and little proves nothing.
        """
        path = self.write(
            "edge-1.log",
            [
                log_lines.sent(1.0, waiting_ms=3, reading_ms=20, kept=0.0),
                log_lines.line(
                    "attempt:answered",
                    900.0,
                    request=log_lines.REQUEST,
                    attempt=1,
                    replica="i-1",
                    after_ms=899,
                ),
                log_lines.ended(901.0),
                '{"request":"',
            ],
        )
        text, status = printed("slow_replicas", path)
        self.assertFalse(status)
        self.assertIn("no replica was slow", text)
        self.assertIn("too few answers to tell of 1 replicas: i-1 (0)", text)
        self.assertIn(f"{path}: 1 lines unreadable", text)

    def test_nothing_found_ends_with_a_status_of_its_own(self):
        path = self.write("edge-1.log", [log_lines.ended(9.0)])
        empty = self.write("empty.log", [])
        for arguments, wanted in (
            (("story", "unheard", path), log_reports.EXIT_NOTHING_FOUND),
            (("endings", empty), log_reports.EXIT_NOTHING_FOUND),
            (("story", "unheard"), log_reports.EXIT_NO_LOGS),
            (("endings",), log_reports.EXIT_NO_LOGS),
            (("slow_replicas", empty), log_reports.EXIT_NOTHING_FOUND),
            (("slow_replicas", path), log_reports.EXIT_NOTHING_FOUND),
            (("slow_replicas",), log_reports.EXIT_NO_LOGS),
        ):
            with self.subTest(arguments=arguments):
                _, status = printed(*arguments)
                self.assertEqual(status, wanted)
