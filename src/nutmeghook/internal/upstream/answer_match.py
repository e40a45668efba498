"""Tells a request's own answer from a copy of an earlier one.

A faulty replica may send an answer twice, the copy where the next answer on the
connection is due. Replicas echo the request's id, which tells the copy of
another request's answer. Nothing tells the copy of an answer to the same
request, so a connection carries no id twice.
"""

from collections.abc import Callable
from collections.abc import Iterable
import re

Headers = Iterable[tuple[str, str]]
# Returns the id that an answer echoes, or None.
ReadId = Callable[[Headers], str | None]
# A request without an id.
NO_ID = ""
_STATUS_LINE = re.compile(r"HTTP/1\.[01] \d{3}(?!\d)")


class ExpectedAnswer:
    """Which answers are a request's own.

    Args:
        request_id: The request's; `NO_ID` if it has none.
        read_id: Returns the id that an answer echoes.
    """

    __slots__ = ("_read_id", "request_id")

    def __init__(self, *, request_id: str, read_id: ReadId):
        self.request_id = request_id
        self._read_id = read_id

    def answered_id(self, headers: Headers) -> str:
        """Returns the id that an answer echoes, or `NO_ID`."""
        return self._read_id(headers) or NO_ID


class CarriedRequests:
    """The requests whose answers, or copies of them, a connection may bring.

    Ids are kept as hashes, since callers choose their length. Two that are
    equal by chance cost a new connection.
    """

    __slots__ = ("_hashes",)

    def __init__(self):
        self._hashes: set[int] = set()

    def __contains__(self, request_id: str) -> bool:
        """Tells whether a request with this id was sent before."""
        return hash(request_id) in self._hashes

    def add(self, request_id: str) -> None:
        """Records a request that is sent."""
        self._hashes.add(hash(request_id))

    def is_own_answer(self, expected: ExpectedAnswer, answered_id: str) -> bool:
        """Tells whether an answer can only be that to the latest request.

        An answer without an id is, unless an earlier request had none.

        Args:
            expected: Of the latest request, which was added.
            answered_id: The id that the answer echoes, or `NO_ID`.
        """
        if answered_id == expected.request_id:
            return True
        return answered_id == NO_ID and NO_ID not in self

    def is_joined(self, reason: str, headers: Headers) -> bool:
        """Tells whether a head begins with one answer and ends with another.

        If a replica cuts an answer off within a line, the next one's status
        line becomes part of that line, and its headers follow those of the
        first. An id may look like one: callers choose them.

        Args:
            reason: The reason phrase.
            headers: The headers.
        """
        values = [reason, *(value for _, value in headers)]
        if _STATUS_LINE.search("\n".join(values)) is None:
            return False
        return any(
            _STATUS_LINE.search(value) and value not in self for value in values
        )
