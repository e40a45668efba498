"""The command line: help, flags, exit statuses and printed errors."""

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
    "replica_speeds",
    "serve",
    "slow_replicas",
    "story",
    "teams",
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
        """The help has to list all commands. Given the class instead of an
        instance, fire lists `admin` alone.
        """
        text, status = printed("--help")
        self.assertEqual(status, 0)
        for command in COMMANDS:
            self.assertIn(f"\n     {command}\n", text)

    def test_help_of_admin_shows_nothing_of_the_library(self):
        """Fire stores how a class's flags are parsed in an attribute, and
        lists it in the help as a group FIRE_METADATA if it is the class's own.
        """
        text, status = printed("admin", "--help")
        self.assertEqual(status, 0)
        self.assertIn("--token", text)
        self.assertNotIn("GROUP", text)
        self.assertNotIn("FIRE", text)

    def test_a_token_that_looks_like_a_number_stays_text(self):
        """Parsed as a number, the token 1.10 would be sent as 1.1, and the
        operator be refused.
        """
        client = mock.Mock(side_effect=ValueError("no server"))
        with mock.patch.object(command_runner, "Client", client):
            printed("admin", "status", "--url=http://10.0.0.1", "--token=1.10")
        self.assertEqual(client.call_args.kwargs["token"], "1.10")

    def test_wrong_settings_end_the_command_before_it_starts(self):
        text, status = printed("serve", "--listen-address=nowhere")
        self.assertEqual(status, cli.EXIT_WRONG_SETTINGS)
        self.assertIn("wrong setting: listen_address is 'nowhere'", text)
        self.assertIn("wrong setting: table_url is not set", text)

    def test_a_wrong_settings_file_of_the_platform_is_explained(self):
        """A file with two faults is checked. Both are printed with what is
        expected, and the exit status is 2.
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

    def test_a_request_id_that_looks_like_a_number_stays_text(self):
        """Parsed as a number, the request id 1e5 would be searched for as
        100000.0 and not be found.
        """
        path = self.write("edge-1.log", [log_lines.ended(9.0, request="1e5")])
        text, status = printed("story", "1e5", path)
        self.assertFalse(status)
        self.assertIn("ended 1000 OK: answered", text)

    def test_endings_are_printed_beside_unreadable_lines_and_files(self):
        """One log ends in the middle of a line, another one is missing. Both
        are reported, and so are the endings in the other lines.
        """
        path = self.write("edge-1.log", [log_lines.ended(9.0), '{"request":"'])
        text, status = printed("endings", path, f"{path}.missing")
        self.assertFalse(status)
        self.assertIn("answered", text)
        self.assertIn(f"{path}: 1 lines unreadable", text)
        self.assertIn(f"{path}.missing: No such file", text)

    def test_slow_replicas_are_printed_beside_unreadable_lines(self):
        """A log ends in the middle of a line. It is reported, and the single
        long wait in the log is too little to call a replica slow.
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

    def test_nothing_found_ends_with_its_own_exit_status(self):
        path = self.write("edge-1.log", [log_lines.ended(9.0)])
        empty = self.write("empty.log", [])
        speed = self.write(
            "speed.log",
            [log_lines.line("replica:speed", 1.0, replica="i", slowness=2.0)],
        )
        for arguments, wanted in (
            (("story", "unheard", path), log_reports.EXIT_NOTHING_FOUND),
            (("endings", empty), log_reports.EXIT_NOTHING_FOUND),
            (("story", "unheard"), log_reports.EXIT_NO_LOGS),
            (("endings",), log_reports.EXIT_NO_LOGS),
            (("slow_replicas", empty), log_reports.EXIT_NOTHING_FOUND),
            (("slow_replicas", path), log_reports.EXIT_NOTHING_FOUND),
            (("slow_replicas",), log_reports.EXIT_NO_LOGS),
            (("teams", path), 0),
            (("teams", empty), log_reports.EXIT_NOTHING_FOUND),
            (("replica_speeds", path), log_reports.EXIT_NOTHING_FOUND),
            (("replica_speeds", speed), 0),
        ):
            with self.subTest(arguments=arguments):
                _, status = printed(*arguments)
                self.assertEqual(status, wanted)
