"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses

_REASONS = {
    200: "OK",
    401: "Unauthorized",
    404: "Not Found",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """A request with its whole body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """An answer as a caller sees it.

    Attributes:
        complete: The end of the body was seen, as its framing states it.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = False


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request; None at the connection's end."""
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method=method, target=target, headers=headers, body=body)


def encode_answer(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Returns an answer that states its length."""
    return (
        encode_head(
            status, {**(headers or {}), "Content-Length": str(len(body))}
        )
        + body
    )


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a request that states its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Returns an answer, also a broken one; None if there was no head."""
    try:
        head = await _read_head(reader)
    except ConnectionError:
        return None
    if head is None:
        return None
    first, headers = head
    answer = Answer(status=int(first.split(" ")[1]), headers=headers)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, answer)
        else:
            length = int(headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.complete = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
    except ConnectionError:
        pass
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        answer.body += piece[:-2]
