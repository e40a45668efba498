"""A router process in which a background task fails."""

import io
import unittest
from unittest import mock

import eliot

from nutmeghook.internal.assembly import router_process


class FailingRouter:
    """Serves until its background task fails."""

    def __init__(self, **_):
        self.listener = mock.Mock(address="here")
        self.metrics_address = "there"

    async def start(self) -> None:
        pass

    async def run(self) -> None:
        raise ExceptionGroup("unhandled", [OverflowError("too large")])

    async def leave(self) -> None:
        pass

    async def close(self) -> None:
        pass


class TaskFailureTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_last_line_says_what_ended_the_process(self):
        """A background task fails, and the process drains before it ends. Log
        collectors may keep only the last lines, so the last one must show the
        failure.
        """
        lines = []
        writer = mock.Mock(side_effect=lambda message: lines.append(message))
        self.addCleanup(eliot.remove_destination, writer)
        with (
            mock.patch.object(
                router_process.log_writer,
                "BoundedLogWriter",
                return_value=writer,
            ),
            mock.patch.object(
                router_process.router_module, "Router", FailingRouter
            ),
            mock.patch.object(
                router_process.sys, "stdout", mock.Mock(spec=io.TextIOWrapper)
            ),
        ):
            status = await router_process.serve(mock.Mock())
        self.assertEqual(status, 1)
        self.assertEqual(lines[-1]["message_type"], "process:ended")
        self.assertIn("OverflowError('too large')", lines[-1]["failure"])
        (failed,) = [
            line
            for line in lines
            if line["message_type"] == "process:part_failed"
        ]
        self.assertIn("in run", failed["trace"])


if __name__ == "__main__":
    unittest.main()
