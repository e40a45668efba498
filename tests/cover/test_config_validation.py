"""Every configuration that operators can put in force is valid."""

import dataclasses
import pathlib
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from nutmeghook.internal.administration import arguments
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import edits
from nutmeghook.internal.config import planning
from nutmeghook.internal.config import schema
from nutmeghook.internal.config import shares
from nutmeghook.internal.config import state as state_module
from nutmeghook.internal.config import validation
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import errors
from tests import config_fleet

DOCS = pathlib.Path(__file__).parents[2] / "docs"
SHA = "0" * 64
SERVING = ("serving", 100)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class InvalidTemplate:
    """A parameter with an invalid value, and the field to be named."""

    field: str
    parameters: dict


def stage(**states: tuple[str, float]) -> documents.Stage:
    """Returns a stage of versions with their states and shares."""
    entries = tuple(
        documents.VersionEntry(
            version=version,
            state=documents.VersionState(entry_state),
            share_percent=share_percent,
        )
        for version, (entry_state, share_percent) in states.items()
    )
    return documents.Stage(model=config_fleet.GOOD.model, versions=entries)


INVALID_TEMPLATES = [
    InvalidTemplate(field="priority", parameters={"priority": 10}),
    InvalidTemplate(field="quality_target", parameters={"quality_target": 1.1}),
    InvalidTemplate(field="deadline_ms", parameters={"deadline_ms": 0}),
    InvalidTemplate(field="name", parameters={"name": "no spaces"}),
    InvalidTemplate(field="team", parameters={"team": "nobody"}),
    InvalidTemplate(field="stages", parameters={"stages": ()}),
    InvalidTemplate(
        field="roll_out.steps_percent",
        parameters={"roll_out": documents.RollOutPolicy(steps_percent=(5, 1))},
    ),
    InvalidTemplate(
        field="stages[0].versions",
        parameters={
            "stages": (stage(v1=("serving", 60), v2=("rolling_out", 30)),)
        },
    ),
    InvalidTemplate(
        field="stages[0].versions",
        parameters={"stages": (stage(v1=("rolling_out", 100)),)},
    ),
    InvalidTemplate(
        field="stages[0].versions[1].share_percent",
        parameters={
            "stages": (stage(v1=("serving", 100), v2=("withdrawn", 5)),)
        },
    ),
    InvalidTemplate(
        field="stages[0].model",
        parameters={
            "stages": (
                msgspec.structs.replace(
                    stage(v1=("serving", 100)), model="unknown"
                ),
            )
        },
    ),
]


def first_state() -> state_module.ConfigState:
    """Returns the state after the first import."""
    replacement = planning.plan(
        config_fleet.first_import(), state_module.EMPTY_STATE
    )
    return state_module.EMPTY_STATE.with_replacement(replacement, revision=1)


versions = strategies.integers(1, 4).map(
    lambda n: engine.ModelVersion(
        model=config_fleet.GOOD.model, version=f"v{n}"
    )
)
place = {"team": config_fleet.TEAM, "template": config_fleet.TEMPLATE}
steps = strategies.one_of(
    versions.map(lambda v: edits.RollOutVersion(model_version=v, **place)),
    versions.map(lambda v: edits.RollBackVersion(model_version=v, **place)),
    versions.map(lambda v: edits.WithdrawVersion(model_version=v, **place)),
    versions.map(lambda v: edits.WithdrawVersion(model_version=v)),
    strategies.builds(
        edits.SetRollOutShare,
        model_version=versions,
        share_percent=strategies.sampled_from([0.5, 5, 33.3, 99, 100]),
        team=strategies.just(config_fleet.TEAM),
        template=strategies.just(config_fleet.TEMPLATE),
    ),
)


class ValidationTest(unittest.TestCase):
    @hypothesis.given(strategies.lists(steps, max_size=12))
    def test_accepted_steps_leave_a_valid_template(self, chosen):
        """Any sequence of operators' steps is refused or leaves it valid."""
        state = first_state()
        for edit in chosen:
            try:
                replacement = planning.plan(edit, state)
            except errors.CodedError:
                continue
            after = state.with_replacement(
                replacement, revision=state.revision + 1
            )
            found = validation.added_faults(state.snapshot, after.snapshot)
            # A step may only be refused because it leaves a stage unusable or
            # uses a withdrawn version; computed shares are never invalid.
            withdrawn = getattr(edit, "model_version", None) in (
                state.snapshot.fleet.withdrawn
            )
            if not withdrawn:
                self.assertTrue(all(fault.waivable for fault in found), found)
            if found:
                continue
            state = after
            template = state.snapshot.template(
                config_fleet.TEAM, config_fleet.TEMPLATE
            )
            shares = [e.share_percent for e in template.stages[0].versions]
            self.assertAlmostEqual(sum(shares), 100, places=3)
            for named in state.snapshot.fleet.withdrawn:
                for entry in template.stages[0].versions:
                    if entry.version == named.version:
                        self.assertEqual(entry.share_percent, 0)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(versions, strategies.booleans()), max_size=16
        )
    )
    def test_withdrawal_falls_back_to_the_version_that_served_last(
        self, chosen
    ):
        """An operator withdraws a promoted version; older ones have share 0.

        All new sessions must get the version that served last before it,
        whatever was rolled out and withdrawn earlier.
        """
        served = [config_fleet.GOOD]
        template = config_fleet.template()
        for version, withdraws in chosen:
            if withdraws and served != [version]:
                template = shares.withdrawn_from(template, version)
                served = [other for other in served if other != version]
            elif not withdraws and version not in served:
                for state, share_percent in (("rolling_out", 5), SERVING):
                    template = shares.with_entry(
                        template,
                        version,
                        documents.VersionState(state),
                        share_percent,
                    )
                served.append(version)
            found = {
                entry.version: entry.share_percent
                for entry in template.stages[0].versions
                if entry.share_percent
            }
            self.assertEqual(found, {served[-1].version: 100})

    def test_each_invalid_parameter_is_named(self):
        for invalid in INVALID_TEMPLATES:
            with self.subTest(field=invalid.field):
                template = config_fleet.template(**invalid.parameters)
                snapshot = first_state().with_replacement(
                    edits.Replacement(templates=(template,)), revision=2
                )
                paths = [
                    fault.path
                    for fault in validation.find_faults(snapshot.snapshot)
                ]
                document = edits.template_document(template.team, template.name)
                self.assertIn(f"{document}.{invalid.field}", paths)

    def test_two_tokens_never_share_a_hash(self):
        token = documents.TokenEntry(
            name="a", role=documents.Role.OPERATOR, sha256=SHA
        )
        teams = tuple(
            documents.Team(name=name, tokens=(token,)) for name in ("x", "y")
        )
        state = first_state().with_replacement(
            edits.Replacement(teams=teams), revision=2
        )
        found = validation.find_faults(state.snapshot)
        self.assertEqual([f.path for f in found], ["team/y.tokens[a].sha256"])

    def test_examples_are_valid_and_the_schema_is_the_exported_one(self):
        for path in sorted((DOCS / "examples").glob("*.json")):
            with self.subTest(path.name):
                example = arguments.read_file(
                    str(path), schema.ConfigurationFile
                )
                replacement = edits.Replacement(
                    fleet=example.fleet,
                    teams=example.teams,
                    templates=example.templates,
                )
                state = state_module.EMPTY_STATE.with_replacement(
                    replacement, revision=1
                )
                self.assertEqual(validation.find_faults(state.snapshot), [])
        exported = (DOCS / "configuration-schema.json").read_text()
        self.assertEqual(
            exported,
            schema.configuration_file_schema() + "\n",
            "nutmeghook admin schema > docs/configuration-schema.json",
        )
