"""A stand-in of a replica, run as a process of its own.

It runs streams of numbered events and plain requests, and writes one line of
JSON to standard output for each thing that it does.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import time

import http_messages

# A cold replica survives too many requests for so long.
_COLD_ENDURANCE_S = 2.5


class Replica:
    """Serves one address.

    Args:
        options: From the command line.
    """

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._born_ms = round(time.time() * 1000)
        self._running = 0
        # When requests arrived while it was cold.
        self._cold_arrivals: list[float] = []
        self._cold_since: float | None = None

    async def serve(self) -> None:
        """Serves until the process is killed."""
        server = await asyncio.start_server(
            self._serve_connection, self._options.host, self._options.port
        )
        _note("started", replica=self._options.id, born=self._born_ms)
        async with server:
            await server.serve_forever()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http_messages.read_request(reader)
                if request is None:
                    break
                if not await self._answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: http_messages.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers; returns whether the connection is kept."""
        expected = request.headers.get("x-expect-replica", self._options.id)
        if expected != self._options.id:
            writer.write(
                http_messages.encode_answer(
                    421, b"", {"X-Replica-Id": self._options.id}
                )
            )
            return True
        if request.target in ("/health", "/v1/report"):
            writer.write(self._status())
            return True
        self._count_cold_arrival()
        self._running += 1
        _note(
            "run",
            replica=self._options.id,
            request=request.headers.get("x-attempt-id"),
            after=request.headers.get("last-event-id"),
        )
        try:
            return await self._run(request, writer)
        finally:
            self._running -= 1

    def _is_cold(self) -> bool:
        """Tells whether it is cold now."""
        flag = self._options.cold_if
        return bool(flag) and os.path.exists(flag)

    def _count_cold_arrival(self) -> None:
        """Ends the process if too many requests arrive in a second of cold."""
        if not self._is_cold():
            return
        now = time.monotonic()
        recent = [at for at in self._cold_arrivals if at > now - 1.0]
        self._cold_arrivals = [*recent, now]
        _note(
            "cold arrival",
            replica=self._options.id,
            in_last_second=len(self._cold_arrivals),
        )
        if self._cold_since is None:
            self._cold_since = now
        is_overloaded = len(self._cold_arrivals) > self._options.cold_crash
        if is_overloaded and now > self._cold_since + _COLD_ENDURANCE_S:
            _note("cold crash", replica=self._options.id, lost=self._running)
            os.kill(os.getpid(), signal.SIGKILL)

    def _status(self) -> bytes:
        body = {
            "stage": "unified",
            "models": [{"name": "small", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "waiting": 0,
            "running": self._running,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
            "born": self._born_ms,
        }
        headers = {
            "Content-Type": "application/json",
            "X-Replica-Id": self._options.id,
            "X-Replica-Load": f"{self._running},0,64",
        }
        if self._is_cold():
            headers["X-Cold-Ms"] = "8000"
        return http_messages.encode_answer(
            200, json.dumps(body).encode(), headers
        )

    def _is_deadly(self, request: http_messages.Request) -> bool:
        """Tells whether the request ends the process."""
        options = self._options
        if not options.deadly or options.deadly not in request.target:
            return False
        return not options.deadly_if or os.path.exists(options.deadly_if)

    async def _run_plain(
        self, request: http_messages.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers with a short whole body."""
        request_id = request.headers.get("x-attempt-id", "")
        await asyncio.sleep(self._options.first_s)
        writer.write(
            http_messages.encode_answer(
                200,
                f"record of {request.target}".encode(),
                {
                    "X-Attempt-Id": request_id,
                    "X-Replica-Seal": f"seal-{self._options.id}-{request_id}",
                    "X-Replica-Load": f"{self._running},0,64",
                },
            )
        )
        return True

    async def _run(
        self, request: http_messages.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Streams events in an answer that ends with its connection."""
        if self._is_deadly(request):
            _note("crash", replica=self._options.id)
            os.kill(os.getpid(), signal.SIGKILL)
        if request.target.startswith(("/record/", "/note/")):
            return await self._run_plain(request, writer)
        request_id = request.headers.get("x-attempt-id", "")
        first = int(request.headers.get("last-event-id") or "0") + 1
        await asyncio.sleep(self._options.first_s)
        writer.write(
            http_messages.encode_head(
                200,
                {
                    "Content-Type": "text/event-stream",
                    "X-Attempt-Id": request_id,
                    "X-Replica-Seal": f"seal-{self._options.id}-{request_id}",
                    "X-Weight-Versions": "1",
                    "X-Confidence": "90",
                    "Connection": "close",
                },
            )
        )
        for number in range(first, self._options.events + 1):
            writer.write(f"id: {number}\ndata: word-{number}\n\n".encode())
            await writer.drain()
            if number < self._options.events:
                await asyncio.sleep(self._options.pause_s)
        _note("whole", replica=self._options.id, request=request_id)
        return False


def _note(event: str, **fields: object) -> None:
    line = {"at": round(time.monotonic(), 3), "event": event, **fields}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Serves one replica."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument(
        "--deadly", help="a request whose path holds this ends the process"
    )
    parser.add_argument(
        "--deadly-if", help="it does so only while this file exists"
    )
    parser.add_argument("--cold-if", help="it is cold while this file exists")
    parser.add_argument(
        "--cold-crash",
        type=int,
        default=1000,
        help="more arrivals in a second of cold end the process",
    )
    parser.add_argument("--first-s", type=float, default=0.1)
    parser.add_argument("--pause-s", type=float, default=0.1)
    asyncio.run(Replica(parser.parse_args()).serve())


if __name__ == "__main__":
    main()
