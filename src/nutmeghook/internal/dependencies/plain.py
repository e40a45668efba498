"""A plain service (a backend server without a model)."""

import abc

import msgspec


class PlainCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to a plain service.

    Attributes:
        request_id: Sent along for the service's log.
        path: Absolute path with the query, for example `/bookings?crew=7`.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class PlainAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What the service answered."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainServiceConnector(abc.ABC):
    """Calls plain services by address.

    `call` may raise `failures.NotDoneError` and
    `failures.OutcomeUnknownError`; the first only if no byte of the call was
    written, or the service said that it refused before running.
    """

    @abc.abstractmethod
    async def call(self, address: str, call: PlainCall) -> PlainAnswer:
        """Makes the call once and returns the answer."""
