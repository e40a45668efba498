"""Ratings of each watched version, pooled over the fleet.

One row holds the position in the rating service's list and the evidence of the
ratings up to it. They change atomically, so that each rating counts once,
whichever instance reads it.
"""

import datetime
import enum

import msgspec

from nutmeghook.internal.config import documents
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings as ratings_module
from nutmeghook.internal.rollout import evidence as evidence_module

ROW_KEY = "rollouts/pool"
# Some answers are never rated: an instance died before it submitted them, or
# the rating service lost them. After a time this many for each rated one are
# written off; were there more, bad answers might be those that go unrated.
WRITTEN_OFF_PER_RATED = 0.05
WRITTEN_OFF_AFTER = datetime.timedelta(minutes=5)


class Verdict(enum.Enum):
    """Verdict on a version by its ratings."""

    OPEN = "open"
    BAD = "bad"


class VersionKey(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One version in one team's template."""

    team: str
    template: str
    model_version: engine.ModelVersion


class Watch(msgspec.Struct, frozen=True, kw_only=True):
    """State of one watched version.

    Attributes:
        rollout_id: Revision at which the watch began; a version that is
            rolled out again after a withdrawal gets another.
        rolling_out: In roll-out; else it serves at its full share.
        share_percent: The version's share now.
        ratings_at_share: Ratings of answers that were sent at this share.
            Below 0 while ratings of earlier answers are still to come: those
            say nothing about a version that turns bad at a larger share.
        bad_at_share: Bad ones among them, counted from 0 on.
        rated: Ratings since the watch began.
        reserved: Answers ever reserved as allowance.
        reserved_by_holder: Those reserved by the present lease holder.
        unused: Answers reserved under earlier holders that were not sent.
        unused_by_holder: The same under the present holder.
        reserved_lately: Value of `reserved` at the pool's last checkpoint.
        reserved_long_ago: Its value at the checkpoint before.
    """

    key: VersionKey
    rollout_id: int
    rolling_out: bool
    share_percent: float
    ratings_at_share: int = 0
    bad_at_share: int = 0
    rated: int = 0
    evidence: evidence_module.Evidence = evidence_module.Evidence()
    verdict: Verdict = Verdict.OPEN
    reserved: int = 0
    reserved_by_holder: int = 0
    unused: int = 0
    unused_by_holder: int = 0
    reserved_lately: int = 0
    reserved_long_ago: int = 0

    def unrated_answers(self) -> int:
        """Returns the largest possible number of sent, unrated answers.

        Reserved allowance counts as sent: an instance may have used it and
        died.
        """
        settled = self.rated + self.unused + self.unused_by_holder
        missing = max(0, self.reserved_long_ago - settled)
        written_off = min(missing, int(self.rated * WRITTEN_OFF_PER_RATED))
        return max(0, self.reserved - settled - written_off)


class Pool(msgspec.Struct, frozen=True, kw_only=True):
    """The row: all versions under watch.

    Attributes:
        cursor: Cursor of the last rating counted.
        checkpoint_at: Wall-clock time at which `reserved_lately` of the watches
            was set. Holders change, so monotonic time can't be used; a jump of
            the clock only shifts the moment at which a bounded number of
            answers is written off.
        revision: Revision of the configuration that the watches follow.
        holder_token: Fencing token of the holder that wrote the row.
    """

    cursor: int = 0
    revision: int = 0
    holder_token: int = 0
    checkpoint_at: datetime.datetime | None = None
    watches: tuple[Watch, ...] = ()

    def watch(self, key: VersionKey) -> Watch | None:
        """Returns the watch of a version, if there is one."""
        return next((w for w in self.watches if w.key == key), None)

    def bad_versions(self) -> set[VersionKey]:
        """Returns the versions that have to be withdrawn."""
        return {w.key for w in self.watches if w.verdict is Verdict.BAD}


def encode(pool: Pool) -> bytes:
    """Returns the row's value."""
    return msgspec.json.encode(pool)


def decode(value: bytes) -> Pool:
    """Reads the row's value."""
    return msgspec.json.decode(value, type=Pool)


def taken_over_by(pool: Pool, token: int) -> Pool:
    """Returns the pool after a holder has taken it over.

    The new holder can't know what its predecessor granted, so all that it
    reserved counts as sent until ratings show otherwise.
    """
    if pool.holder_token == token:
        return pool
    watches = tuple(
        msgspec.structs.replace(
            watch,
            reserved_by_holder=0,
            unused=watch.unused + watch.unused_by_holder,
            unused_by_holder=0,
        )
        for watch in pool.watches
    )
    return msgspec.structs.replace(pool, holder_token=token, watches=watches)


def with_versions_of(pool: Pool, snapshot: documents.Snapshot) -> Pool:
    """Returns the pool with a watch for exactly the versions in use."""
    known = {watch.key: watch for watch in pool.watches}
    watches = tuple(
        _updated_watch(known.get(key), key, entry, snapshot.revision)
        for key, entry in _versions_in_use(snapshot)
    )
    return msgspec.structs.replace(
        pool, revision=snapshot.revision, watches=watches
    )


def with_ratings(
    pool: Pool,
    new_ratings: list[ratings_module.Rating],
    snapshot: documents.Snapshot,
) -> Pool:
    """Returns the pool with ratings added in their order."""
    watches = {watch.key: watch for watch in pool.watches}
    cursor = pool.cursor
    for rating in new_ratings:
        cursor = max(cursor, rating.cursor)
        key = VersionKey(
            team=rating.team,
            template=rating.template,
            model_version=rating.model_version,
        )
        watch = watches.get(key)
        template = snapshot.template(rating.team, rating.template)
        if watch is not None and template is not None:
            bad = rating.quality < template.roll_out.bad_rating_below
            watches[key] = _with_rating(watch, template.roll_out, bad)
    return msgspec.structs.replace(
        pool, cursor=cursor, watches=tuple(watches.values())
    )


def with_checkpoint(pool: Pool, now: datetime.datetime) -> Pool:
    """Returns the pool with a new checkpoint, if one is due."""
    before = pool.checkpoint_at
    if before is not None and before <= now < before + WRITTEN_OFF_AFTER:
        return pool
    watches = tuple(
        msgspec.structs.replace(
            watch,
            reserved_lately=watch.reserved,
            reserved_long_ago=watch.reserved_lately,
        )
        for watch in pool.watches
    )
    return msgspec.structs.replace(pool, checkpoint_at=now, watches=watches)


def must_be_durable(before: Pool, after: Pool) -> bool:
    """Tells whether a change has to be stored for the next holder.

    Only ratings need not be: they can be read again.
    """
    return _durable_state(before) != _durable_state(after)


def _durable_state(pool: Pool) -> list[Watch]:
    return [
        Watch(
            key=watch.key,
            rollout_id=watch.rollout_id,
            rolling_out=watch.rolling_out,
            share_percent=watch.share_percent,
            verdict=watch.verdict,
            reserved=watch.reserved,
            reserved_by_holder=watch.reserved_by_holder,
        )
        for watch in pool.watches
    ]


def rule_for(
    watch: Watch, policy: documents.RollOutPolicy
) -> evidence_module.Rule:
    """Returns the rule that judges a version."""
    if watch.rolling_out:
        return evidence_module.RollOutRule(
            tolerated_bad_share=policy.tolerated_bad_share
        )
    return evidence_module.FullShareRule(
        tolerated_bad_share=policy.tolerated_bad_share
    )


def _versions_in_use(
    snapshot: documents.Snapshot,
) -> list[tuple[VersionKey, documents.VersionEntry]]:
    return [
        (
            VersionKey(
                team=template.team,
                template=template.name,
                model_version=engine.ModelVersion(
                    model=stage.model, version=entry.version
                ),
            ),
            entry,
        )
        for template in snapshot.templates.values()
        for stage in template.stages
        for entry in stage.versions
        if _is_in_use(entry)
    ]


def _is_in_use(entry: documents.VersionEntry) -> bool:
    if entry.state is documents.VersionState.SERVING:
        return entry.share_percent > 0
    return entry.state is documents.VersionState.ROLLING_OUT


def _updated_watch(
    watch: Watch | None,
    key: VersionKey,
    entry: documents.VersionEntry,
    revision: int,
) -> Watch:
    rolling_out = entry.state is documents.VersionState.ROLLING_OUT
    if watch is None or watch.rolling_out is not rolling_out:
        return Watch(
            key=key,
            rollout_id=revision,
            rolling_out=rolling_out,
            share_percent=entry.share_percent,
        )
    if watch.share_percent != entry.share_percent:
        return msgspec.structs.replace(
            watch,
            share_percent=entry.share_percent,
            ratings_at_share=-watch.unrated_answers(),
            bad_at_share=0,
        )
    return watch


def _with_rating(
    watch: Watch, policy: documents.RollOutPolicy, bad: bool
) -> Watch:
    rule = rule_for(watch, policy)
    evidence = rule.with_rating(watch.evidence, bad=bad)
    verdict = watch.verdict
    if rule.proves_bad(evidence):
        # Kept even if later ratings are good: the decision must not be lost if
        # the holder dies before it is carried out.
        verdict = Verdict.BAD
    return msgspec.structs.replace(
        watch,
        evidence=evidence,
        verdict=verdict,
        rated=watch.rated + 1,
        ratings_at_share=watch.ratings_at_share + 1,
        bad_at_share=watch.bad_at_share + (bad and watch.ratings_at_share >= 0),
    )
