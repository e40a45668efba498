"""The faults that a trial can inject; each ends by itself."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from nutmeghook.experiment import evidence
from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import system as system_module
from nutmeghook.experiment import trial as trial_module
from nutmeghook.internal.administration import bodies
from nutmeghook.internal.administration import client as client_module
from nutmeghook.internal.config import edits
from nutmeghook.internal.dependencies import engine
from nutmeghook.standins import control
from nutmeghook.standins import serving

Fault = Callable[[trial_module.Trial], Awaitable[None]]

# Longer than a lease and its margin, so that other instances take over.
FREEZE_S = 7.0
OUTAGE_S = 4.0
KILL_AFTER_S = 1.2
SLOW_MS = 400.0
LOST_ANSWERS = 25
SERVICE_SLOW_MS = 800.0
WITHDRAWN_AFTER_S = 2.0
POLL_PERIOD_S = 0.25
MAX_POLLS = 80
RACES = 5
LONG_ANSWER_TOKENS = 60
LONG_ANSWER_STEP_MS = 60.0


async def kill_instance(trial: trial_module.Trial) -> None:
    """SIGKILL for the newest instance; another takes its place.

    It begins after the faults that it is combined with, while their work is
    half done: bills wait for a slow store, and calls have no answer yet.
    """
    victim = trial.running()[-1]
    await asyncio.sleep(KILL_AFTER_S)
    victim.process.kill()
    await victim.process.ended()
    await trial.add_instance()
    await trial.remove_instance(victim)


async def freeze_instance(trial: trial_module.Trial) -> None:
    """SIGSTOP until every lease has expired, then SIGCONT.

    It takes another instance than `kill_instance`, so that both faults can be
    combined.
    """
    victim = trial.running()[1]
    await victim.process.pause()
    await asyncio.sleep(FREEZE_S)
    victim.process.resume()


async def drain_instance(trial: trial_module.Trial) -> None:
    """SIGTERM; the instance must end with status 0 and cut no request."""
    victim = trial.running()[-1]
    await trial.add_instance()
    await end_gracefully(trial, victim)


async def end_gracefully(
    trial: trial_module.Trial, victim: system_module.RunningInstance
) -> None:
    """SIGTERM; the instance must end with status 0."""
    victim.process.terminate()
    status = await victim.process.ended()
    await trial.remove_instance(victim)
    if status != 0:
        raise AssertionError(
            f"{victim.name} ended with status {status}\n"
            f"{victim.process.log_tail()}"
        )


async def table_down(trial: trial_module.Trial) -> None:
    """The table service cuts every connection."""
    await _outage(trial, "table", serving.DownMode.CUTTING)


async def table_hangs(trial: trial_module.Trial) -> None:
    """The table service takes requests and never answers."""
    await _outage(trial, "table", serving.DownMode.HANGING)


async def objects_down(trial: trial_module.Trial) -> None:
    """The object store refuses everything."""
    await _outage(trial, "objects", serving.DownMode.REFUSING)


async def objects_hang(trial: trial_module.Trial) -> None:
    """The object store takes requests and never answers."""
    await _outage(trial, "objects", serving.DownMode.HANGING)


async def ratings_down(trial: trial_module.Trial) -> None:
    """The rating service cuts every connection."""
    await _outage(trial, "ratings", serving.DownMode.CUTTING)


async def instance_list_down(trial: trial_module.Trial) -> None:
    """The instance list cuts every connection."""
    await _outage(trial, "instances", serving.DownMode.CUTTING)


async def _outage(
    trial: trial_module.Trial, name: str, mode: serving.DownMode
) -> None:
    await trial.system.set_faults(name, control.FaultSettings(down=mode))
    await asyncio.sleep(OUTAGE_S)
    await trial.system.set_faults(name, control.FaultSettings())


async def table_slow(trial: trial_module.Trial) -> None:
    """Every call of the table service takes 0.4 s longer."""
    await trial.system.set_faults(
        "table", control.FaultSettings(delay_ms=SLOW_MS)
    )
    await asyncio.sleep(OUTAGE_S)
    await trial.system.set_faults("table", control.FaultSettings())


async def table_loses_answers(trial: trial_module.Trial) -> None:
    """The next commits take effect, but their answers are lost."""
    await trial.system.set_faults(
        "table", control.FaultSettings(lose_next_answers=LOST_ANSWERS)
    )
    await asyncio.sleep(OUTAGE_S)
    await trial.system.set_faults("table", control.FaultSettings())


async def table_effects_late(trial: trial_module.Trial) -> None:
    """Commits lose their answers and take effect half a second later."""
    await trial.system.set_faults(
        "table", control.FaultSettings(late_effect_ms=500.0)
    )
    await asyncio.sleep(OUTAGE_S / 2)
    await trial.system.set_faults("table", control.FaultSettings())


async def engines_cut_streams(trial: trial_module.Trial) -> None:
    """Each engine cuts five streams and sends wrong chunks in three."""
    for name in engine_names(trial):
        change = {"cut_next_streams": 5, "crossed_next_streams": 3}
        await trial.system.control(
            name, "settings", msgspec.json.encode(change)
        )


async def engines_give_long_answers(trial: trial_module.Trial) -> None:
    """Engines take seconds for an answer, so streams are long."""
    await _set_engines(
        trial,
        {
            "step_ms": LONG_ANSWER_STEP_MS,
            "mean_answer_tokens": LONG_ANSWER_TOKENS,
        },
    )


async def _set_engines(
    trial: trial_module.Trial, change: dict[str, float]
) -> None:
    for name in engine_names(trial):
        await trial.system.control(
            name, "settings", msgspec.json.encode(change)
        )


async def engine_crashes(trial: trial_module.Trial) -> None:
    """One engine of each pool crashes and restarts without its state."""
    for name in ("inspection-0", "rostering-0"):
        await trial.system.control(name, "crash", b"")


async def services_lose_answers(trial: trial_module.Trial) -> None:
    """Plain services run the next calls and lose their answers."""
    faults = control.FaultSettings(lose_next_answers=5)
    for name in ("registry-0", "scheduler-0"):
        await trial.system.set_faults(name, faults)


async def services_slow(trial: trial_module.Trial) -> None:
    """Each call of a plain service takes 0.8 s before it is answered."""
    await _slow_services(trial, SERVICE_SLOW_MS)
    await asyncio.sleep(OUTAGE_S)
    await _slow_services(trial, 0.0)


async def _slow_services(trial: trial_module.Trial, delay_ms: float) -> None:
    for served in trial.system.addresses.stand_ins:
        if served.role == system_module.PLAIN_ROLE:
            await trial.system.set_faults(
                served.name, control.FaultSettings(delay_ms=delay_ms)
            )


async def operators_race(trial: trial_module.Trial) -> None:
    """Two operators replace one template from the same revision."""
    template = example_fleet.template_documents()[0]
    for number in range(RACES):
        async with trial.system.administration(trial.running()[0]) as client:
            name = edits.template_document(template.team, template.name)
            current = await client.document(name)
        outcomes = await asyncio.gather(
            *(
                _race(trial, template, current.revision, number, rival)
                for rival in range(2)
            )
        )
        if sorted(outcomes) != [False, True]:
            raise AssertionError(f"race {number} gave {outcomes}")


async def _race(
    trial: trial_module.Trial,
    template: edits.documents.Template,
    revision: int,
    number: int,
    rival: int,
) -> bool:
    running = trial.running()
    through = running[rival % len(running)]
    edit = edits.PutTemplate(
        template=msgspec.structs.replace(
            template, max_tokens=800 + 2 * number + rival
        ),
        expected_revision=revision,
    )
    async with trial.system.administration(through) as client:
        try:
            await client.submit(
                f"race-{number:04d}-{rival}-{through.name}",
                bodies.SubmitBody(edit=edit, reason="race"),
            )
        except client_module.RefusedError:
            return False
    return True


async def bad_rollout(trial: trial_module.Trial) -> None:
    """Rolls out a version that is bad from its first answer on."""
    await trial.accept(
        edits.RollOutVersion(
            team=trial_module.ROLLOUT_TEAM,
            template=trial_module.ROLLOUT_TEMPLATE,
            model_version=example_fleet.BAD_VERSION,
        ),
        reason="new version",
    )


async def good_rollout(trial: trial_module.Trial) -> None:
    """Rolls out a version that is as good as its predecessor."""
    await trial.accept(
        edits.RollOutVersion(
            team=trial_module.GOOD_ROLLOUT_TEAM,
            template=trial_module.GOOD_ROLLOUT_TEMPLATE,
            model_version=example_fleet.GOOD_VERSION,
        ),
        reason="new version",
    )


async def _wait_for_run(
    trial: trial_module.Trial, version: engine.ModelVersion
) -> None:
    """Waits, for a limited time, until an engine has run a version."""
    for _ in range(MAX_POLLS):
        runs = await evidence.read_runs(trial.system)
        if any(run.model_version == str(version) for run in runs):
            return
        await asyncio.sleep(POLL_PERIOD_S)


async def withdrawal(trial: trial_module.Trial) -> None:
    """Rolls out a version and withdraws it during the roll-out.

    It waits for answers by the version rather than for a fixed time: on a
    busy machine engines load it later, and withdrawing a version that has
    served nobody tests nothing.
    """
    await good_rollout(trial)
    await _wait_for_run(trial, example_fleet.GOOD_VERSION)
    await asyncio.sleep(WITHDRAWN_AFTER_S)
    await trial.accept(
        edits.WithdrawVersion(
            team=trial_module.GOOD_ROLLOUT_TEAM,
            template=trial_module.GOOD_ROLLOUT_TEMPLATE,
            model_version=example_fleet.GOOD_VERSION,
        ),
        reason="complaints",
    )


def engine_names(trial: trial_module.Trial) -> list[str]:
    """Returns the names of all engine stand-ins."""
    return [
        served.name
        for served in trial.system.addresses.stand_ins
        if served.role == system_module.ENGINE_ROLE
    ]
