"""A request's body that is written only if it may still be sent."""

import aiohttp
from aiohttp import abc

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import failures
from nutmeghook.internal.standin_http import http_exchange


class CheckedBody(aiohttp.BytesPayload):
    """Asks whether it may be sent in the step that sends it.

    The failure: a request was checked, then its connection had to be made, or
    its process was stopped for seconds; its bytes left by knowledge of before.

    The library keeps the head back and writes it together with the body, so
    nothing has left before the check. And the transport sends at once: by
    default uvloop keeps what is written until all other callbacks of the turn
    have run, some of which take milliseconds. So what can still come between
    are the few instructions up to the system call.

    Attributes:
        withheld: Why nothing was written, if so.
    """

    def __init__(self, *, content: bytes, check_send: engine.SendCheck | None):
        super().__init__(content, content_type="application/json")
        self._check_send = check_send
        self.withheld: failures.WithheldError | None = None

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body, unless it may not be sent any more."""
        if self._check_send is not None:
            # A transport that may keep nothing back tries to send at once.
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
        """Returns the platform error that a client error stands for."""
        if self.withheld is not None:
            return self.withheld
        return http_exchange.to_platform_error(error, peer)
