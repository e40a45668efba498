"""The base of the `nutmeghook admin` commands: calls the API and prints."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import os
import secrets
import sys
from typing import Any

from fire import decorators
import msgspec

from nutmeghook.internal.administration import arguments
from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import client as client_module
from nutmeghook.internal.administration import rendering
from nutmeghook.internal.config import edits
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import event_loop

URL_VARIABLE = "NUTMEGHOOK_ADMIN_URL"
TOKEN_VARIABLE = "NUTMEGHOOK_TOKEN"
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
Client = client_module.AdministrationClient
Call = Callable[[Client], Awaitable[msgspec.Struct]]


def command(method: Callable[..., None]) -> Callable[..., None]:
    """Turns a method into a command.

    Its arguments are passed as text: Fire would otherwise infer types and turn
    version 1.10 into the number 1.1. Invalid ones end it with a message.
    """

    @functools.wraps(method)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            method(*args, **kwargs)
        except (arguments.UsageError, ValueError, OSError) as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_USAGE)

    return decorators.SetParseFn(str)(run)


@decorators.SetParseFn(str)
class _StringFlags(type):
    """Makes Fire pass the flags of a class's constructor as text.

    Fire looks up the decorator's metadata on the class, not on `__init__`, and
    would list metadata that is the class's own attribute in the help, as a
    group FIRE_METADATA. It finds the metaclass's attribute, but does not list
    it. Without the metadata a token such as 1.10 would be sent as 1.1.
    """

    __slots__ = ()


class CommandRunner(metaclass=_StringFlags):
    """Calls the administration API for a command and prints the result."""

    __slots__ = ("_json", "_token", "_url")

    def __init__(self, *, url: str = "", token: str = "", json: str = "false"):
        """Sets what to call.

        Args:
            url: Any instance or the balancer, for example
                http://10.0.0.1:8080; else from NUTMEGHOOK_ADMIN_URL.
            token: Bearer token; better from NUTMEGHOOK_TOKEN, which other
                users of this machine can't see.
            json: Print answers as JSON; give --json last, or --json=true.
        """
        self._url = url or os.environ.get(URL_VARIABLE, "")
        self._token = token or os.environ.get(TOKEN_VARIABLE, "")
        self._json = arguments.is_true(json)

    def _show(self, call: Call, render: Callable[[Any], str]) -> None:
        answer = self._run(call, "")
        if self._json:
            print(msgspec.json.encode(answer).decode())
        else:
            print(render(answer))

    def _change(
        self,
        edit: Callable[[Client], Awaitable[edits.Edit]],
        reason: str,
        operation_id: str,
    ) -> None:
        chosen = operation_id or f"op-{secrets.token_hex(8)}"
        # Printed before anything is sent, so that the outcome can be asked for
        # if no answer comes.
        print(f"operation {chosen}", file=sys.stderr)

        async def submit(client: Client) -> bodies.OperationAnswer:
            if operation_id:
                known = await client.known_outcome(operation_id)
                if known is not None:
                    return known
            body = bodies.SubmitBody(reason=reason, edit=await edit(client))
            return await client.submit(chosen, body)

        answer = self._run(submit, chosen)
        if self._json:
            print(msgspec.json.encode(answer).decode())
        else:
            print(rendering.operation(answer))

    def _run(self, call: Call, operation_id: str) -> msgspec.Struct:
        if not self._url:
            raise arguments.UsageError(
                f"no address: set {URL_VARIABLE} or give --url, for example "
                f"http://10.0.0.1:8080"
            )

        async def run() -> msgspec.Struct:
            async with Client(
                base_url=self._url,
                token=self._token,
                clock=clock_module.SystemClock(),
            ) as client:
                return await call(client)

        try:
            return event_loop.run(run())
        except client_module.RefusedError as error:
            self._fail_refused(error)
        except client_module.NoAnswerError as error:
            print(error, file=sys.stderr)
            if operation_id:
                print(
                    f"what became of it: nutmeghook admin outcome "
                    f"{operation_id}",
                    file=sys.stderr,
                )
            sys.exit(EXIT_UNKNOWN)

    def _fail_refused(self, error: client_module.RefusedError) -> None:
        if self._json:
            print(msgspec.json.encode(error.body).decode())
        else:
            print(rendering.error(error.body), file=sys.stderr)
        unknown = error.body.error.run_state == codes.RunState.UNKNOWN.value
        sys.exit(EXIT_UNKNOWN if unknown else EXIT_REFUSED)
