"""A request body that is written only if the request may still be sent."""

import aiohttp
from aiohttp import abc

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.standin_http import http_exchange


class CheckedBody(aiohttp.BytesPayload):
    """Calls `check_send` immediately before it is written to the socket.

    After an earlier check, opening a connection or a process that is stopped
    for seconds can delay the request, which would then be sent on stale state.

    aiohttp writes the head together with the body, so nothing is sent before
    the check. The transport's write buffer is disabled, because uvloop by
    default sends only after all other callbacks of the loop iteration, some of
    which take milliseconds. So only a few instructions run between the check
    and the system call.

    Attributes:
        withheld: The reason why nothing was written, else None.
    """

    def __init__(self, *, content: bytes, check_send: engine.SendCheck | None):
        super().__init__(content, content_type="application/json")
        self._check_send = check_send
        self.withheld: failures.WithheldError | None = None

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body, unless the request may no longer be sent."""
        if self._check_send is not None:
            # With a high-water mark of 0 the transport sends at once.
            if writer.transport is not None:
                writer.transport.set_write_buffer_limits(high=0)
            try:
                self._check_send()
            except failures.WithheldError as error:
                self.withheld = error
                raise
        await super().write_with_length(writer, content_length)

    def to_platform_error(
        self, error: Exception, peer: str
    ) -> failures.PlatformError:
        """Returns the platform error for a client error."""
        if self.withheld is not None:
            return self.withheld
        return http_exchange.to_platform_error(error, peer)
