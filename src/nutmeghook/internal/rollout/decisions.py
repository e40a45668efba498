"""Decides on allowances, next shares and withdrawals from pooled ratings."""

import math

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.rollout import allowance as allowance_module
from nutmeghook.internal.rollout import config_editor
from nutmeghook.internal.rollout import pool as pool_module

_FULL_SHARE_PERCENT = 100.0
# Strength of the evidence from which a version keeps its share: with the
# threshold of a proof at 100 to 1, this is 10 to 1.
_SUSPICION = 0.1
# A version keeps its share if its bad ratings there exceed the tolerated number
# by this many standard deviations. That costs a good version time at worst, so
# much weaker evidence suffices than for a withdrawal.
_HOLD_AT_DEVIATIONS = 1.0
# Allowance reserved in advance, as a part of the cap. If the holder dies,
# this much may count as sent for a while although it was not.
_PREPARED_PART_OF_CAP = 0.25


def with_allowance(
    pool: pool_module.Pool,
    snapshot: documents.Snapshot,
    keeper: allowance_module.AllowanceKeeper,
) -> pool_module.Pool:
    """Returns the pool with as much allowance reserved as the caps permit."""
    watches = tuple(
        _with_allowance(
            watch, _policy(watch, snapshot), keeper.counts(watch.key)
        )
        for watch in pool.watches
    )
    return msgspec.structs.replace(pool, watches=watches)


def steps(
    pool: pool_module.Pool, snapshot: documents.Snapshot
) -> list[config_editor.Step]:
    """Returns the changes that are due, withdrawals first."""
    found = [
        step
        for watch in pool.watches
        if (step := _step(watch, _policy(watch, snapshot))) is not None
    ]
    return sorted(found, key=lambda step: not step.withdraws)


def waits_for_ratings(
    watch: pool_module.Watch, snapshot: documents.Snapshot
) -> bool:
    """Tells whether a roll-out waits at its cap of unrated answers."""
    policy = _policy(watch, snapshot)
    return watch.rolling_out and watch.unrated_answers() >= policy.unrated_cap


def _policy(
    watch: pool_module.Watch, snapshot: documents.Snapshot
) -> documents.RollOutPolicy:
    template = snapshot.template(watch.key.team, watch.key.template)
    return template.roll_out if template else documents.RollOutPolicy()


def _with_allowance(
    watch: pool_module.Watch,
    policy: documents.RollOutPolicy,
    counts: allowance_module.VersionAllowance | None,
) -> pool_module.Watch:
    if not watch.rolling_out or watch.verdict is pool_module.Verdict.BAD:
        return watch
    granted = 0
    if counts is not None and counts.rollout_id == watch.rollout_id:
        granted = counts.granted
        watch = msgspec.structs.replace(watch, unused_by_holder=counts.unused)
    available = watch.reserved_by_holder - granted
    wanted = max(1, int(policy.unrated_cap * _PREPARED_PART_OF_CAP)) - available
    room = policy.unrated_cap - watch.unrated_answers()
    more = max(0, min(wanted, room))
    return msgspec.structs.replace(
        watch,
        reserved=watch.reserved + more,
        reserved_by_holder=watch.reserved_by_holder + more,
    )


def _step(
    watch: pool_module.Watch, policy: documents.RollOutPolicy
) -> config_editor.Step | None:
    evidence = watch.evidence
    if watch.verdict is pool_module.Verdict.BAD:
        return config_editor.Step(
            key=watch.key,
            rollout_id=watch.rollout_id,
            share_percent=0.0,
            reason=f"{evidence.bad} of {evidence.ratings} ratings were bad",
        )
    if not watch.rolling_out or not _may_grow(watch, policy):
        return None
    return config_editor.Step(
        key=watch.key,
        rollout_id=watch.rollout_id,
        share_percent=_next_share(watch.share_percent, policy),
        reason=(
            f"{watch.ratings_at_share} ratings at {watch.share_percent:g}%,"
            f" {evidence.bad} of {evidence.ratings} in all were bad"
        ),
    )


def _may_grow(
    watch: pool_module.Watch, policy: documents.RollOutPolicy
) -> bool:
    if watch.ratings_at_share < policy.ratings_per_step:
        return False
    if watch.bad_at_share > _max_bad(watch.ratings_at_share, policy):
        return False
    rule = pool_module.rule_for(watch, policy)
    return rule.strength(watch.evidence) < _SUSPICION


def _max_bad(ratings: int, policy: documents.RollOutPolicy) -> float:
    """Returns how many bad ratings a version may have and still grow."""
    share = policy.tolerated_bad_share
    deviation = math.sqrt(ratings * share * (1.0 - share))
    return ratings * share + _HOLD_AT_DEVIATIONS * deviation


def _next_share(share_percent: float, policy: documents.RollOutPolicy) -> float:
    larger = [s for s in policy.steps_percent if s > share_percent]
    return min(larger, default=_FULL_SHARE_PERCENT)
