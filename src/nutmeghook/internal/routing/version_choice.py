"""Chooses a stage's version by the precedence in docs/design/precedence.md."""

import datetime

import xxhash

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view as view_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from nutmeghook.internal.ledger import pins as pins_module
from nutmeghook.internal.rollout import exposure
from nutmeghook.internal.routing import version_rules
from nutmeghook.internal.routing import versions

DEFAULT_PIN_TIMEOUT = datetime.timedelta(milliseconds=150)
_WHOLE_PERCENT = 100.0
_HASH_RANGE = 2.0**64
# A pin may name a version that the template no longer lists. The second try
# reports that version as unusable; the third is for the case that another
# instance replaced the pin meanwhile.
_PIN_TRIES = 3
_RETRY_UNKNOWN_PIN = datetime.timedelta(seconds=2)


class ConfiguredVersionChooser(versions.VersionChooser):
    """Chooses by the configuration in force, pins, exposure and shares."""

    __slots__ = ("_gate", "_pin_timeout", "_pins", "_rules")

    def __init__(
        self,
        *,
        view: view_module.ConfigView,
        pins: pins_module.SessionPins,
        gate: exposure.ExposureGate,
        pin_timeout: datetime.timedelta = DEFAULT_PIN_TIMEOUT,
    ):
        self._rules = version_rules.VersionRules(view=view)
        self._pins = pins
        self._gate = gate
        self._pin_timeout = pin_timeout

    async def choose(
        self,
        *,
        template: documents.Template,
        stage_index: int,
        session: str,
        request_id: str,
    ) -> versions.VersionChoice:
        """Returns the version for a stage; waits only for a session's pin."""
        model = template.stages[stage_index].model
        listed = self._rules.listed(template=template, model=model)
        usable = [v for v in listed if v.standing.usable]
        if not usable:
            raise _nothing_usable(listed, template=template, model=model)
        share_key = session or request_id
        wanted = _by_share(usable, key=share_key)
        proposed = self._with_allowance(template, usable, wanted, share_key)
        if not session:
            return _choice_of(proposed)
        key = pins_module.SessionKey(
            team=template.team,
            template=template.name,
            stage_index=stage_index,
            session=session,
        )
        return await self._choose_pinned(template, key, proposed, usable)

    def check_dispatch(
        self,
        *,
        template: documents.Template,
        choice: versions.VersionChoice,
    ) -> None:
        """Checks against the newest configuration just before sending."""
        standing = self._rules.standing(
            template=template, model_version=choice.model_version
        )
        if not standing.usable:
            raise version_rules.refusal(
                standing, template=template, what=str(choice.model_version)
            )

    def release(
        self,
        *,
        template: documents.Template,
        choice: versions.VersionChoice,
    ) -> None:
        """Returns the exposure of a choice of which no caller got any text."""
        if choice.rolling_out:
            self._gate.release(
                template=template, model_version=choice.model_version
            )

    def _with_allowance(
        self,
        template: documents.Template,
        usable: list[version_rules.ListedVersion],
        wanted: version_rules.ListedVersion,
        share_key: str,
    ) -> version_rules.ListedVersion:
        """Returns `wanted` if it needs no exposure allowance or gets it."""
        if wanted.standing is not version_rules.Standing.ROLLING_OUT:
            return wanted
        version = wanted.model_version
        if self._gate.try_take(template=template, model_version=version):
            return wanted
        serving = _serving(usable)
        if serving:
            return _among_serving(serving, share_key)
        # A template whose versions are all in roll-out has none to fall back
        # on. Its operator chose that, so the answer counts but is not refused.
        self._gate.take_regardless(template=template, model_version=version)
        return wanted

    async def _choose_pinned(
        self,
        template: documents.Template,
        key: pins_module.SessionKey,
        proposed: version_rules.ListedVersion,
        usable: list[version_rules.ListedVersion],
    ) -> versions.VersionChoice:
        try:
            choice = await self._pinned_or_only(template, key, proposed, usable)
        except BaseException:
            # Also if cancelled at its deadline: nothing will be sent.
            self._settle_allowance(template, taken=proposed, used=None)
            raise
        self._settle_allowance(template, taken=proposed, used=choice)
        return choice

    async def _pinned_or_only(
        self,
        template: documents.Template,
        key: pins_module.SessionKey,
        proposed: version_rules.ListedVersion,
        usable: list[version_rules.ListedVersion],
    ) -> versions.VersionChoice:
        """Returns the session's version, or the only one without the store."""
        try:
            pinned = await self._find_pin(template, key, proposed)
        except errors.CodedError as error:
            if error.code is not codes.Code.STORE_OUT:
                raise
            chosen = _choose_without_store(usable, key, template)
            self._pins.pin_later(
                key,
                version=chosen.model_version,
                revision=self._rules.revision,
            )
            return _choice_of(chosen)
        return self._check_pin(template, pinned)

    async def _find_pin(
        self,
        template: documents.Template,
        key: pins_module.SessionKey,
        proposed: version_rules.ListedVersion,
    ) -> pins_module.Pinned:
        """Returns the session's version, replacing pins to unusable ones."""
        revision = self._rules.revision
        unusable = {
            listed.model_version
            for listed in self._rules.listed(
                template=template, model=proposed.model_version.model
            )
            if _overrides_pin(listed.standing)
        }
        pinned = pins_module.Pinned(
            model_version=proposed.model_version, revision=revision
        )
        for _ in range(_PIN_TRIES):
            pinned = await self._pins.pin(
                key,
                proposed=proposed.model_version,
                unusable=frozenset(unusable),
                revision=revision,
                timeout=self._pin_timeout,
            )
            standing = self._rules.standing(
                template=template, model_version=pinned.model_version
            )
            if not _overrides_pin(standing) or pinned.revision > revision:
                break
            if pinned.model_version == proposed.model_version:
                break
            unusable.add(pinned.model_version)
        return pinned

    def _check_pin(
        self, template: documents.Template, pinned: pins_module.Pinned
    ) -> versions.VersionChoice:
        """Checks a pin against this instance's configuration.

        A pin that was chosen under a newer configuration is kept: the caller
        gets a retryable "not run" until this instance has that configuration.
        """
        standing = self._rules.standing(
            template=template, model_version=pinned.model_version
        )
        if _overrides_pin(standing) and pinned.revision > self._rules.revision:
            standing = version_rules.Standing.STALE
        if not standing.usable:
            raise version_rules.refusal(
                standing, template=template, what=str(pinned.model_version)
            )
        return versions.VersionChoice(
            model_version=pinned.model_version,
            rolling_out=standing is version_rules.Standing.ROLLING_OUT,
        )

    def _settle_allowance(
        self,
        template: documents.Template,
        *,
        taken: version_rules.ListedVersion,
        used: versions.VersionChoice | None,
    ) -> None:
        """Adjusts the allowance taken to the version that will be used."""
        had_allowance = taken.standing is version_rules.Standing.ROLLING_OUT
        if used is not None and used.model_version == taken.model_version:
            return
        if had_allowance:
            self._gate.release(
                template=template, model_version=taken.model_version
            )
        if used is not None and used.rolling_out:
            self._gate.take_regardless(
                template=template, model_version=used.model_version
            )


def _overrides_pin(standing: version_rules.Standing) -> bool:
    """Tells whether a session must be moved off a version permanently.

    A stale configuration is no reason: the version may well be usable, and
    the session would change its version because of this instance's outage.
    """
    return not standing.usable and standing is not version_rules.Standing.STALE


def _choice_of(
    listed: version_rules.ListedVersion,
) -> versions.VersionChoice:
    return versions.VersionChoice(
        model_version=listed.model_version,
        rolling_out=listed.standing is version_rules.Standing.ROLLING_OUT,
    )


def _serving(
    usable: list[version_rules.ListedVersion],
) -> list[version_rules.ListedVersion]:
    return [v for v in usable if v.standing is version_rules.Standing.SERVING]


def _position_percent(key: str, salt: str) -> float:
    """Hashes a key to 0 to 100, the same on every instance."""
    digest = xxhash.xxh3_64_intdigest(f"{salt}\x00{key}".encode())
    return digest / _HASH_RANGE * _WHOLE_PERCENT


def _by_share(
    usable: list[version_rules.ListedVersion], *, key: str
) -> version_rules.ListedVersion:
    """Returns the version whose share the key falls into.

    Each version hashes the key by itself and takes its share of what earlier
    ones left over. So a growing share gains keys and loses none.
    """
    rolling = [
        v for v in usable if v.standing is version_rules.Standing.ROLLING_OUT
    ]
    remaining_percent = _WHOLE_PERCENT
    for version in rolling:
        position = _position_percent(key, str(version.model_version))
        if (
            position * remaining_percent
            < version.share_percent * _WHOLE_PERCENT
        ):
            return version
        remaining_percent -= version.share_percent
    return _among_serving(_serving(usable) or rolling, key)


def _among_serving(
    candidates: list[version_rules.ListedVersion], key: str
) -> version_rules.ListedVersion:
    total_percent = sum(v.share_percent for v in candidates)
    position = _position_percent(key, "serving") / _WHOLE_PERCENT
    remaining_percent = position * total_percent
    for version in candidates:
        if remaining_percent < version.share_percent:
            return version
        remaining_percent -= version.share_percent
    return candidates[0]


def _choose_without_store(
    usable: list[version_rules.ListedVersion],
    key: pins_module.SessionKey,
    template: documents.Template,
) -> version_rules.ListedVersion:
    """Chooses for a session whose pin can't be read.

    Only if a single version is usable: with two the session may be pinned to
    either, and a wrong guess would change its version. Choosing the serving
    one by a hash, equal on all instances, fails too: sessions that begin
    during an outage are pinned to the version in roll-out right after it.
    """
    if len(usable) == 1:
        return usable[0]
    raise errors.CodedError(
        code=codes.Code.STORE_OUT,
        detail=(
            f"session {key.session!r} of template {template.name!r} may be on"
            f" any of {len(usable)} versions; retry later"
        ),
        retry_after=_RETRY_UNKNOWN_PIN,
    )


def _nothing_usable(
    listed: list[version_rules.ListedVersion],
    *,
    template: documents.Template,
    model: str,
) -> errors.CodedError:
    standings = {v.standing for v in listed}
    order = (
        version_rules.Standing.NOT_ALLOWED,
        version_rules.Standing.STALE,
        version_rules.Standing.WITHDRAWN,
    )
    for standing in order:
        if standing in standings:
            return version_rules.refusal(
                standing, template=template, what=model
            )
    return version_rules.refusal(
        version_rules.Standing.NOT_LISTED, template=template, what=model
    )
