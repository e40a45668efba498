"""Learned cascades: the mix, decisions on requests, missing ratings."""

import asyncio
import datetime
import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from bench import cascade as cascade_bench
from bench.models import quality
from nutmeghook.internal.config import documents
from nutmeghook.internal.config import view
from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.dependencies import ratings
from nutmeghook.internal.foundation import clock
from nutmeghook.internal.routing import cascade
from nutmeghook.internal.routing import cascade_labels
from nutmeghook.internal.routing import cascade_learned
from nutmeghook.internal.routing import cascade_learner
from nutmeghook.internal.routing import cascade_options
from nutmeghook.internal.routing import cascade_plans
from nutmeghook.internal.routing import cascade_publisher
from nutmeghook.internal.routing import cascade_reader
from nutmeghook.internal.routing import cascade_rows
from nutmeghook.internal.routing import cascade_scorer
from nutmeghook.internal.routing import cascade_tables
from nutmeghook.standins import memory_ratings
from nutmeghook.standins import memory_table
from tests import rollout_fleet

LOOKUP = cascade_bench.WORKLOADS[0]
KEY = documents.template_key(LOOKUP.template.team, LOOKUP.template.name)
STRONGEST = cascade_plans.PlannedOption(first_stage=1, go_on_below_bin=0)

OPTIONS = strategies.builds(
    cascade_options.Option,
    first_stage=strategies.just(0),
    go_on_below_bin=strategies.integers(0, 7),
    cost=strategies.floats(1, 100),
    quality=strategies.floats(0.1, 0.9),
)


class MixTest(unittest.TestCase):
    """The chosen mix against every choice of one option a group."""

    @hypothesis.given(
        strategies.lists(
            strategies.lists(OPTIONS, min_size=1, max_size=4),
            min_size=1,
            max_size=3,
        ),
        strategies.floats(0.1, 0.9),
    )
    def test_no_choice_that_meets_the_target_is_cheaper(self, sets, target):
        weight = 1 / len(sets)
        groups = [
            cascade_plans.Group(weight=weight, options=options)
            for options in sets
        ]
        mix = cascade_plans.cheapest_mix(groups, target=target)
        enough = [
            sum(option.cost for option in choice) * weight
            for choice in itertools.product(*sets)
            if sum(o.quality for o in choice) * weight >= target
        ]
        if enough:
            self.assertLessEqual(mix.cost, min(enough) * (1 + 1e-6))


def ask(number, template=LOOKUP.template, prompt_chars=600):
    return cascade.CascadeQuestion(
        template=template,
        request_id=f"req-{number}",
        prompt_chars=prompt_chars,
    )


def held(score):
    return cascade.CascadeAnswer(
        text=str(score), output_tokens=9, hit_length_limit=False
    )


def plan_of(option, *, explored=0.0):
    group = cascade_plans.GroupPlan(usual=option, upgraded=option)
    return cascade_plans.TemplatePlan(
        holding=(group,) * cascade_labels.KINDS,
        relaying=(group,) * cascade_labels.KINDS,
        rated_share=1.0,
        explored_shares=(explored,) * cascade_labels.KINDS,
        tried_shares=(explored,) * cascade_labels.KINDS,
    )


class DecisionTest(unittest.TestCase):
    """The decisions on one request."""

    def setUp(self):
        self.clock = clock.FakeClock()
        self.policy = cascade_learned.LearnedCascade(
            clock=self.clock, scorer=quality.ScoreInText()
        )

    @hypothesis.given(
        strategies.integers(0, 7),
        strategies.floats(0, 1),
        strategies.integers(0, 10_000),
        strategies.floats(0, 1),
    )
    def test_request_keeps_its_decision_while_plans_change(
        self, threshold, score, number, explored
    ):
        """New plans are published while a caller's answer is being held.

        The answer must be judged by the plan that held it. Otherwise an
        explored request's first answer would be returned, or a good answer
        needlessly escalated. Its rating carries the score.
        """
        option = cascade_plans.PlannedOption(
            first_stage=0, go_on_below_bin=threshold
        )
        self.policy.use_plans({KEY: plan_of(option, explored=explored)})
        question = ask(f"{number}-{threshold}-{explored}-{score}")
        plan = self.policy.plan(question)
        self.policy.use_plans({KEY: plan_of(STRONGEST)})
        rating_id = self.policy.rating_id(
            question, stage_index=0, answer=held(score)
        )
        label = cascade_labels.read(rating_id)
        self.assertEqual(label.score_bin is not None, plan.may_escalate)
        if plan.may_escalate:
            score_bin = cascade_scorer.bin_of(score)
            self.assertEqual(label.score_bin, score_bin)
            accepted = self.policy.accepts(
                question, stage_index=0, answer=held(score)
            )
            compared = self.policy._decisions[question.request_id].explored
            self.assertEqual(accepted, not compared and score_bin >= threshold)

    def test_a_template_that_may_not_hold_answers_never_does(self):
        template = msgspec.structs.replace(
            LOOKUP.template, held_share_percent=0.0
        )
        option = cascade_plans.PlannedOption(first_stage=0, go_on_below_bin=0)
        self.policy.use_plans({KEY: plan_of(option, explored=0.5)})
        for number in range(300):
            self.assertFalse(
                self.policy.plan(ask(number, template)).may_escalate
            )

    def test_without_fresh_plans_the_strongest_stage_answers(self):
        """No plan is published yet, or none for hours.

        All callers get the strongest model's answers, also those of the share
        for which all stages run.
        """
        cheap = cascade_plans.PlannedOption(first_stage=0, go_on_below_bin=0)

        def starts(first_number):
            plans = [
                self.policy.plan(ask(first_number + n)) for n in range(200)
            ]
            return [p.first_stage for p in plans if not p.may_escalate]

        self.assertEqual(set(starts(0)), {1})
        self.policy.use_plans({KEY: plan_of(cheap)})
        self.assertEqual(set(starts(1_000)), {0})
        self.clock._elapsed += datetime.timedelta(hours=7)
        self.assertEqual(set(starts(2_000)), {1})


class LearningTest(unittest.TestCase):
    """From ratings to plans."""

    def test_the_target_is_met_far_below_the_strongest_models_cost(self):
        source = random.Random(5)
        run = quality.LearnedCascadeRun(
            workload=LOOKUP, clock=clock.FakeClock()
        )
        run.serve(quality.generate_requests(LOOKUP, count=6_000, source=source))
        requests = quality.generate_requests(LOOKUP, count=6_000, source=source)
        outcome = run.serve(requests)
        strongest = sum(r.costs[1] for r in requests) / len(requests)
        target = LOOKUP.template.quality_target
        self.assertGreater(outcome.mean_quality, target - 0.01)
        self.assertLess(outcome.mean_cost, 0.4 * strongest)

    def test_without_ratings_plans_drift_to_the_strongest(self):
        """The rating service stops for a day.

        The last plan is kept for an hour; then more and more callers get the
        strongest model, since the cheap one's quality is no longer known.
        """
        source = random.Random(5)
        run = quality.LearnedCascadeRun(
            workload=LOOKUP, clock=clock.FakeClock()
        )
        run.serve(quality.generate_requests(LOOKUP, count=6_000, source=source))

        def plan_after(hours):
            return cascade_learner.plan_for(
                LOOKUP.template,
                run._table,
                fleet=LOOKUP.fleet,
                now_s=hours * 3_600.0,
            )

        self.assertEqual(plan_after(1.0), plan_after(0.0))
        usual = [group.usual for group in plan_after(24.0).holding]
        self.assertEqual(usual, [STRONGEST] * cascade_labels.KINDS)

    def test_explored_requests_do_not_make_their_kind_look_frequent(self):
        table = cascade_tables.empty_table(2)
        for sampled in (True, False, False):
            label = cascade_labels.RatingLabel(
                kind=2, first_stage=0, score_bin=1, sampled=sampled
            )
            table.add(stage_index=0, label=label, quality=0.5, now_s=0.0)
        self.assertEqual(table.requests, [0.0, 0.0, 1.0])
        self.assertEqual(table.kinds[2][0].held[1].count, 3.0)

    def test_labels_round_trip_and_foreign_ids_are_ignored(self):
        for kind, first, score_bin in itertools.product(
            range(cascade_labels.KINDS), range(3), (None, 0, 7)
        ):
            label = cascade_labels.RatingLabel(
                kind=kind,
                first_stage=first,
                score_bin=score_bin,
                sampled=score_bin is None,
            )
            rating_id = cascade_labels.attach("req~1.2", label)
            self.assertEqual(cascade_labels.read(rating_id), label)
        for foreign in (
            "req-1",
            "req~",
            "req~9.0.0.1",
            "req~0.0.8.1",
            "~a.b.c",
        ):
            self.assertIsNone(cascade_labels.read(foreign))


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    """Concurrent publishers."""

    async def test_two_publishers_and_lost_answers_count_each_rating_once(self):
        """Two instances believe that they hold the lease; answers get lost.

        A rating that counts twice would shift callers to another model. The
        store decides whose transaction takes effect.
        """
        fake = clock.FakeClock()
        store = memory_table.MemoryTable(clock=fake)
        service = memory_ratings.MemoryRatings(
            clock=fake, quality=lambda task: 0.9
        )
        snapshot = documents.Snapshot(
            revision=1,
            fleet=LOOKUP.fleet,
            teams={},
            templates={KEY: LOOKUP.template},
        )
        leases = [rollout_fleet.RowLease(store) for _ in range(2)]
        publishers = [
            cascade_publisher.CascadePublisher(
                view=view.FixedConfigView(snapshot=snapshot),
                lease=lease,
                table=store,
                ratings=service,
                clock=fake,
            )
            for lease in leases
        ]
        label = cascade_labels.RatingLabel(
            kind=0, first_stage=1, score_bin=None
        )
        for number in range(60):
            await service.submit([_task(number, label)])
            if number % 10 == 0:
                await leases[number // 10 % 2].take()
            if number % 7 == 0:
                store.faults.lose_next_answers = 1
            steps = asyncio.gather(*(p.step() for p in publishers))
            await fake.advance(datetime.timedelta(seconds=1))
            await steps
        bucket = cascade_rows.bucket_of(KEY)
        row = await store.read(cascade_rows.tables_key(bucket))
        learned = msgspec.msgpack.decode(row.value, type=cascade_rows.TablesRow)
        self.assertEqual(learned.tables[KEY].ratings, 60)
        policy = cascade_learned.LearnedCascade(
            clock=fake, scorer=cascade_scorer.TextAnswerScorer()
        )
        reader = cascade_reader.PlansReader(
            policy=policy,
            table=store,
            clock=fake,
            random_source=random.Random(1),
        )
        await reader.step()
        read = policy._plans[KEY]
        self.assertEqual(read.holding[0].usual, STRONGEST)
        store.faults.down = True
        await reader.step()
        self.assertIs(policy._plans[KEY], read)


def _task(number, label):
    return ratings.RatingTask(
        request_id=cascade_labels.attach(f"req-{number}", label),
        team=LOOKUP.template.team,
        template=LOOKUP.template.name,
        model_version=engine.ModelVersion(model="large", version="1"),
        stage=1,
        prompt="",
        answer="",
    )


if __name__ == "__main__":
    unittest.main()
