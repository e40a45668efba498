"""Instances that choose versions by one configuration and shared pins."""

import asyncio
import dataclasses
import datetime

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins as pins_module
from nutmeghook.internal.rollout import exposure
from nutmeghook.internal.routing import version_choice
from nutmeghook.internal.routing import versions

OLD = engine.ModelVersion(model="small", version="1")
NEW = engine.ModelVersion(model="small", version="2")
State = documents.VersionState
Policy = documents.FreshnessPolicy


def snapshot_without_new(*, revision):
    """Returns a configuration whose template lists the old version only."""
    both = snapshot(revision=revision)
    (stage,) = both.templates["agency/lookup"].stages
    stage = msgspec.structs.replace(stage, versions=stage.versions[:1])
    template = msgspec.structs.replace(
        both.templates["agency/lookup"], stages=(stage,)
    )
    return msgspec.structs.replace(both, templates={"agency/lookup": template})


def snapshot(
    *,
    new_state=State.ROLLING_OUT,
    old_state=State.SERVING,
    new_percent=5.0,
    allowed=("small",),
    withdrawn=(),
    freshness=Policy.STOP_ROLL_OUTS,
    revision=1,
):
    """Returns a configuration of one template with an old and a new version."""
    entries = (
        documents.VersionEntry(
            version="1", state=old_state, share_percent=100.0 - new_percent
        ),
        documents.VersionEntry(
            version="2", state=new_state, share_percent=new_percent
        ),
    )
    template = documents.Template(
        team="agency",
        name="lookup",
        stages=(documents.Stage(model="small", versions=entries),),
        freshness=freshness,
    )
    return documents.Snapshot(
        revision=revision,
        fleet=documents.Fleet(withdrawn=tuple(withdrawn)),
        teams={"agency": documents.Team(name="agency", allowed_models=allowed)},
        templates={"agency/lookup": template},
    )


class MemoryPins(pins_module.SessionPins):
    """Pins as the store would keep them; `out` makes it fail."""

    def __init__(self):
        self.pinned = {}
        self.out = False
        self.moves = 0

    async def pin(self, key, *, proposed, unusable, revision, timeout):
        if self.out:
            raise errors.CodedError(code=codes.Code.STORE_OUT)
        known = self.pinned.get(key)
        if known is None or (
            known.model_version in unusable and revision >= known.revision
        ):
            self.moves += 1
            self.put(key, proposed, revision)
        return self.pinned[key]

    def put(self, key, version, revision=1):
        self.pinned[key] = pins_module.Pinned(
            model_version=version, revision=revision
        )

    def pin_later(self, key, *, version, revision):
        if key not in self.pinned:
            self.put(key, version, revision)


class CountingGate(exposure.ExposureGate):
    """A gate with a fixed exposure allowance."""

    def __init__(self, allowance=1_000_000):
        self.allowance = allowance
        self.used = 0

    def try_take(self, *, template, model_version):
        if self.used >= self.allowance:
            return False
        self.used += 1
        return True

    def take_regardless(self, *, template, model_version):
        self.used += 1

    def release(self, *, template, model_version):
        self.used -= 1


class FixedView(view_module.ConfigView):
    """A configuration that a test replaces."""

    def __init__(self, snapshot, age=datetime.timedelta()):
        self.current = snapshot
        self.age = age

    @property
    def snapshot(self):
        return self.current

    def confirmed_age(self):
        return self.age


@dataclasses.dataclass
class Fleet:
    """Instances that share the store's pins and the exposure allowance."""

    view: FixedView
    pins: MemoryPins = dataclasses.field(default_factory=MemoryPins)
    gate: CountingGate = dataclasses.field(default_factory=CountingGate)

    def chooser(self):
        return version_choice.ConfiguredVersionChooser(
            view=self.view, pins=self.pins, gate=self.gate
        )

    def choose(self, session="", request_id="r"):
        template = self.view.current.templates["agency/lookup"]
        return asyncio.run(
            self.chooser().choose(
                template=template,
                stage_index=0,
                session=session,
                request_id=request_id,
            )
        )

    def check(self, template, model_version):
        choice = versions.VersionChoice(
            model_version=model_version, rolling_out=False
        )
        self.chooser().check_dispatch(template=template, choice=choice)


def outcome(function, *arguments, **named):
    """Returns what a call returns, or its result code."""
    try:
        return function(*arguments, **named)
    except errors.CodedError as error:
        return error.code
