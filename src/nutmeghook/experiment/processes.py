"""Starts, pauses and ends the processes of an experiment."""

import asyncio
import collections.abc
import pathlib
import signal
import sys
from typing import TypeVar

import msgspec

_Ready = TypeVar("_Ready")
INTERPRETER = (sys.executable, "-m")
READY_TIMEOUT_S = 30.0
END_TIMEOUT_S = 30.0
# An end before a signal is known after this.
_UNTIL_NOTICED_S = 0.1


class StartError(RuntimeError):
    """A process ended or printed no ready line in time."""


class ManagedProcess:
    """A process started here; its log goes to a file."""

    __slots__ = ("_log", "_process", "name")

    def __init__(
        self,
        *,
        name: str,
        process: asyncio.subprocess.Process,
        log: pathlib.Path,
    ):
        self.name = name
        self._process = process
        self._log = log

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while it runs."""
        return self._process.returncode

    def kill(self) -> None:
        """Sends SIGKILL."""
        self._process.send_signal(signal.SIGKILL)

    async def pause(self) -> None:
        """Sends SIGSTOP, and waits until the process has stopped.

        Raises:
            ProcessLookupError: It has ended; the text has the end of its log.
                A signal to a process whose end was not noticed yet has no
                effect and raises nothing.
        """
        self._process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_UNTIL_NOTICED_S)
        if self.exit_status is not None:
            raise self._ended_error()

    def resume(self) -> None:
        """Sends SIGCONT.

        Raises:
            ProcessLookupError: It has ended; the text has the end of its log.
        """
        try:
            self._process.send_signal(signal.SIGCONT)
        except ProcessLookupError as error:
            raise self._ended_error() from error

    def _ended_error(self) -> ProcessLookupError:
        return ProcessLookupError(
            f"{self.name} has ended with status {self.exit_status}:"
            f" {self.log_tail()}"
        )

    def terminate(self) -> None:
        """Sends SIGTERM, for a graceful shutdown."""
        self._process.send_signal(signal.SIGTERM)

    async def ended(self) -> int:
        """Waits for its end and returns the exit status."""
        return await self._process.wait()

    async def end(self) -> int:
        """Terminates it, or kills it after a timeout; returns its status."""
        if self._process.returncode is not None:
            return self._process.returncode
        self.resume()
        self.terminate()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await self.ended()
        except TimeoutError:
            self.kill()
            return await self.ended()

    def log_tail(self, lines: int = 20) -> str:
        """Returns the end of its log, for error messages."""
        return "\n".join(self._log.read_text().splitlines()[-lines:])


async def start(
    *,
    name: str,
    arguments: list[str],
    folder: pathlib.Path,
    ready_type: type[_Ready],
    program: collections.abc.Sequence[str] = INTERPRETER,
    environment: dict[str, str] | None = None,
    standard_input: bytes = b"",
) -> tuple[ManagedProcess, _Ready]:
    """Starts a process and reads the line that it prints when ready.

    Args:
        name: Also of the log file.
        arguments: After `program`, which is `python -m` if not given.
        folder: Where the log file goes.
        ready_type: Type of the first line of standard output, which is JSON.
        program: The executable and its first arguments.
        environment: The whole environment; None for this process's own.
        standard_input: Written to the process before anything is read.

    Raises:
        StartError: With the end of the log.
    """
    log = folder / f"{name}.log"
    with log.open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            *program,
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=log_file,
            env=environment,
        )
    managed = ManagedProcess(name=name, process=process, log=log)
    process.stdin.write(standard_input)
    process.stdin.close()
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await process.stdout.readline()
        return managed, msgspec.json.decode(line, type=ready_type)
    except (TimeoutError, msgspec.MsgspecError) as error:
        if process.returncode is None:
            managed.kill()
        await process.wait()
        raise StartError(
            f"{name} did not get ready: {error!r}\n{managed.log_tail()}"
        ) from error
