"""How long a leaving or dead backend server still receives new work.

Runs on a virtual clock. Takes the worst case over several start times of the
leaving, to cover each phase of the polling period.
"""

import asyncio

from bench import report
from bench.models import leaving

OFFSETS_S = tuple(leaving.WARM_UP_S + step * 0.17 for step in range(6))

SCENARIOS = (
    leaving.Scenario(name="engine_says_so", list_lag_s=60.0),
    leaving.Scenario(name="only_list_says_so", report_lag_s=None),
    leaving.Scenario(name="plain_only_list_says_so", plain=True),
    leaving.Scenario(
        name="plain_refuses", plain=True, refuses=True, list_lag_s=60.0
    ),
    leaving.Scenario(name="dead", dead=True, report_lag_s=None, list_lag_s=5.0),
)


def run() -> list[report.Line]:
    """Measures all scenarios; the bound applies to the worst."""
    lines = []
    worst_s = 0.0
    for scenario in SCENARIOS:
        runs = [
            asyncio.run(leaving.run_scenario(scenario, leaves_at_s=offset_s))
            for offset_s in OFFSETS_S
        ]
        last_s = max(sends.last_s for sends in runs)
        worst_s = max(worst_s, last_s)
        lines.append(
            report.Line(
                name=f"drain.last_new_work_s.{scenario.name}",
                value=round(last_s, 2),
                unit="s of virtual time",
            )
        )
        lines.append(
            report.Line(
                name=f"drain.attempts_sent.{scenario.name}",
                value=max(sends.attempts for sends in runs),
                unit="attempts of 3 routers",
            )
        )
    worst = report.Line(
        name="drain.last_new_work_s",
        value=round(worst_s, 2),
        unit="s of virtual time",
        bound=3.0,
    )
    return [worst, *lines]
