"""Runs request handlers and turns their errors into replies."""

import eliot

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import codec
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes


async def reply_to(
    request: codec.Received, *, handlers: peers.PeerHandlers
) -> codec.Encoded:
    """Returns the handler's reply, or a `Failure` if it fails."""
    name = type(request.message).__name__
    handler = handlers.handler_for(request.message)
    if handler is None:
        return _failure(request, codes.Code.NOT_FOUND, f"no handler for {name}")
    try:
        reply = await handler(request.message)
        return codec.encode(reply, sequence=request.sequence)
    except errors.CodedError as error:
        return _failure(request, error.code, error.detail)
    # A fault in a handler, or a reply that can't be encoded, must not end the
    # connection, which carries the peer's other requests too.
    except Exception:
        eliot.write_traceback()
        return _failure(request, codes.Code.INTERNAL, f"{name}: handler failed")


def result_of(reply: peers.Message) -> peers.Message:
    """Returns a reply, or raises if it is a failure.

    Raises:
        PeerRefusedError: The reply is a failure.
    """
    if isinstance(reply, ttypes.Failure):
        raise peers.PeerRefusedError(
            code_number=reply.code_number, detail=reply.detail
        )
    return reply


def _failure(
    request: codec.Received, code: codes.Code, detail: str
) -> codec.Encoded:
    failure = ttypes.Failure(code_number=code.number, detail=detail)
    return codec.encode(failure, sequence=request.sequence)
