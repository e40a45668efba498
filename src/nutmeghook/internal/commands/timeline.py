"""`nutmeghook timeline`: the events of all instances."""

import asyncio
import os
import pathlib
import sys

import aiohttp
import msgspec

from nutmeghook.internal.administration import command_runner
from nutmeghook.internal.assembly import observation
from nutmeghook.internal.foundation import bounded_http
from nutmeghook.internal.observe import timeline

EXIT_NO_ANSWER = 3
_TIMEOUT_S = 30.0


async def fetch(url: str, token: str) -> list[timeline.ProcessEvents]:
    """Asks an instance for the events of all instances that it can reach."""
    async with (
        aiohttp.ClientSession(
            connector=bounded_http.BoundedConnector(),
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as http,
        http.get(
            url.rstrip("/") + observation.TIMELINE_PATH,
            headers={"Authorization": f"Bearer {token}"},
        ) as response,
    ):
        response.raise_for_status()
        return msgspec.json.decode(
            await response.read(), type=list[timeline.ProcessEvents]
        )


def run(*, about: str, html: str, url: str, token: str) -> None:
    """Prints the timeline, and writes it as a page if `html` names a file."""
    url = url or os.environ.get(command_runner.URL_VARIABLE, "")
    token = token or os.environ.get(command_runner.TOKEN_VARIABLE, "")
    try:
        processes = asyncio.run(fetch(url, token))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        print(f"no time line from {url!r}: {error}", file=sys.stderr)
        sys.exit(EXIT_NO_ANSWER)
    entries = timeline.merge(processes)
    if about:
        entries = timeline.filter_by_subject(entries, about)
    print("\n".join(timeline.text_lines(entries)))
    for process in processes:
        print(
            f"# {process.process}: clock {process.offset_ms:+.1f} ms"
            f" (to within {process.uncertainty_ms:.1f} ms)",
            file=sys.stderr,
        )
    if html:
        page = timeline.html_page(entries, title=about or "all events")
        pathlib.Path(html).write_text(page)
