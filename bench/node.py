"""Memory and processor time of a real instance, idle and under load.

Runs the stand-ins and three instances as processes. The load is a node's
planned share (20 requests and 4,286 tokens a second) and is sent only to the
first instance, which is the one measured.
"""

import asyncio
import pathlib
import tempfile

import aiohttp
import psutil

from bench import report
from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import load as load_module
from nutmeghook.experiment import system as system_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics as metrics_module

INSTANCES = 3
SETTLE_S = 5.0
IDLE_S = 20.0
LOAD_S = 30.0
REQUESTS_PER_S = 20.0
TOKENS_PER_REQUEST = 214
MEMORY_BOUND_MB = 128.0
CONTROL_BOUND_PERCENT = 4.6
TEMPLATE = "dossier-review"
_MB = 1024 * 1024


def run() -> list[report.Line]:
    """Starts the system, measures the first instance and stops the system."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure(pathlib.Path(folder)))


async def _measure(folder: pathlib.Path) -> list[report.Line]:
    system = system_module.System(
        folder=folder, clock=clock_module.SystemClock()
    )
    tokens = example_fleet.new_tokens()
    await system.start_stand_ins(
        example_fleet.stand_ins(mean_answer_tokens=TOKENS_PER_REQUEST)
    )
    try:
        for _ in range(INSTANCES):
            await system.start_agency_instance()
        await system.import_example(tokens)
        return await _figures(system, tokens)
    finally:
        await system.end()


async def _figures(
    system: system_module.System, tokens: dict[str, str]
) -> list[report.Line]:
    measured = system.instances[0]
    process = psutil.Process(measured.process.pid)
    await asyncio.sleep(SETTLE_S)
    before_s = _processor_s(process)
    await asyncio.sleep(IDLE_S)
    idle_percent = (_processor_s(process) - before_s) / IDLE_S * 100
    idle_mb = process.memory_info().rss / _MB
    before_s = _processor_s(process)
    load_result = await load_module.run(
        load_module.LoadSettings(
            addresses=[measured.listen_address],
            token=tokens[example_fleet.AGENCY_TEAMS[0]],
            template=TEMPLATE,
            rate_per_s=REQUESTS_PER_S,
            duration_s=LOAD_S,
            streamed=True,
            prompt_words=40,
            max_tokens=2 * TOKENS_PER_REQUEST,
        )
    )
    metrics = await _metrics_page(measured.listen_address)
    load_percent = (_processor_s(process) - before_s) / LOAD_S * 100
    load_mb = process.memory_info().rss / _MB
    return [
        report.Line(
            name="node.memory_idle_mb",
            value=idle_mb,
            unit="MB",
            bound=MEMORY_BOUND_MB,
        ),
        report.Line(
            name="node.memory_load_mb",
            value=load_mb,
            unit="MB",
            bound=MEMORY_BOUND_MB,
        ),
        report.Line(
            name="node.control_core_percent",
            value=idle_percent,
            unit="% of a core",
            bound=CONTROL_BOUND_PERCENT,
        ),
        report.Line(
            name="node.load_core_percent",
            value=load_percent,
            unit="% of a core",
        ),
        report.Line(
            name="node.load_tokens_per_s",
            value=_metric(metrics, "output_tokens_total") / LOAD_S,
            unit="tokens/s",
        ),
        report.Line(
            name="node.load_answered_share",
            value=load_result.answered / load_result.sent,
            unit="share",
            bound=1.0,
            better=report.Better.HIGHER,
        ),
        report.Line(
            name="node.load_first_token_p95_ms",
            value=load_result.p95_first_token_ms,
            unit="ms",
        ),
    ]


async def _metrics_page(address: str) -> str:
    async with (
        aiohttp.ClientSession() as http,
        http.get(f"http://{address}/metrics") as response,
    ):
        return await response.text()


def _metric(page: str, name: str) -> float:
    """Returns the value of a metric that has no labels."""
    full_name = metrics_module.PREFIX + name
    for line in page.splitlines():
        if line.startswith(full_name):
            return float(line.split()[-1])
    return 0.0


def _processor_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system
