"""Running the handler for a request; what a peer is told when it fails."""

import eliot

from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.inner import peers
from nutmeghook.internal.inner.generated import ttypes


async def reply_to(
    request: peers.Message, *, handlers: peers.PeerHandlers
) -> peers.Message:
    """Returns the handler's reply, or a `Failure` in its place."""
    handler = handlers.handler_for(request)
    if handler is None:
        return _failure(
            codes.Code.NOT_FOUND, f"no handler for {type(request).__name__}"
        )
    try:
        return await handler(request)
    except errors.CodedError as error:
        return _failure(error.code, error.detail)
    # A fault in one handler must not end the connection that carries the
    # other requests of the same peer.
    except Exception:
        eliot.write_traceback()
        return _failure(
            codes.Code.INTERNAL, f"{type(request).__name__} handler failed"
        )


def result_of(reply: peers.Message) -> peers.Message:
    """Returns a reply as the caller shall see it.

    Raises:
        PeerRefusedError: The reply is a failure.
    """
    if isinstance(reply, ttypes.Failure):
        raise peers.PeerRefusedError(
            code_number=reply.code_number, detail=reply.detail
        )
    return reply


def _failure(code: codes.Code, detail: str) -> ttypes.Failure:
    return ttypes.Failure(code_number=code.number, detail=detail)
