"""When a larger model is asked, by what is known at that moment."""

import datetime
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from nutmeghook.internal.relay import generation_times
from nutmeghook.internal.relay import model_choice
from nutmeghook.internal.routes import model

MS = datetime.timedelta(milliseconds=1)
ROUTE = model.Route(
    name="route",
    host="h",
    prefix="/",
    kind=model.RouteKind.STREAM,
    shares=(model.ServiceShare(service="s", weight=1.0),),
    time_limit=8000 * MS,
    target=1500 * MS,
    attempts=3,
    priority=1,
    models=("small", "middle", "large"),
)
CONFIDENCES = strategies.integers(min_value=0, max_value=100)
WAITING = strategies.floats(min_value=0, max_value=100)


def context(**changes) -> model_choice.EscalationContext:
    """Returns a weak answer at a low load, with changes."""
    fields = {
        "confidence": 20,
        "elapsed": 120 * MS,
        "relative_size": 1.0,
        "price": 0.1,
        "first_event": 300 * MS,
        "generation": 800 * MS,
        "time_left": 7880 * MS,
        "waiting": 0.5,
    }
    return model_choice.EscalationContext(**(fields | changes))


class ExpectedUtilityTest(unittest.TestCase):
    def setUp(self):
        self.choice = model_choice.ExpectedUtility()

    def is_replaced(self, **changes) -> bool:
        """Tells whether the answer is replaced."""
        return self.choice.prefers_larger(ROUTE, context(**changes))

    def test_the_models_between_are_skipped(self):
        self.assertEqual(self.choice.first(ROUTE), 0)
        self.assertEqual(self.choice.larger(ROUTE, 0), 2)
        self.assertIsNone(self.choice.larger(ROUTE, 2))

    def test_at_low_load_weak_answers_are_replaced_and_sure_ones_kept(
        self,
    ):
        for confidence in range(0, 50):
            self.assertTrue(self.is_replaced(confidence=confidence))
        for confidence in range(60, 101):
            self.assertFalse(self.is_replaced(confidence=confidence))

    def test_an_answer_without_a_confidence_is_kept(self):
        self.assertFalse(self.is_replaced(confidence=None))

    def test_a_weak_answer_is_kept_if_the_larger_one_would_come_late(self):
        """The queues are long and the target has almost passed. Half of such
        answers are good; if replaced, all of them would be late.
        """
        self.assertFalse(self.is_replaced(confidence=40, first_event=2500 * MS))

    def test_a_weak_answer_is_kept_if_the_larger_one_would_not_end(self):
        """Engines that prefill prompts generate 30 tokens a second, so an
        answer of 500 tokens would be cut by its deadline.
        """
        self.assertFalse(self.is_replaced(confidence=5, generation=16_000 * MS))

    def test_the_surer_of_weak_answers_are_kept_first_as_queues_grow(self):
        self.assertTrue(self.is_replaced(waiting=6, confidence=5))
        self.assertFalse(self.is_replaced(waiting=6, confidence=45))

    def test_long_prompts_are_not_kept_before_short_ones(self):
        """A long prompt delays other requests more, but has a larger utility.
        With a cost by prefill time alone, all long prompts would keep their
        poor answers, even where there is capacity for them.
        """
        for waiting in range(12):
            if self.is_replaced(waiting=waiting, relative_size=0.3):
                self.assertTrue(
                    self.is_replaced(waiting=waiting, relative_size=3.0)
                )

    @given(CONFIDENCES, WAITING, WAITING)
    def test_longer_queues_never_bring_more_replaced(
        self, confidence, one, other
    ):
        shorter, longer = sorted((one, other))
        if self.is_replaced(confidence=confidence, waiting=longer):
            self.assertTrue(
                self.is_replaced(confidence=confidence, waiting=shorter)
            )

    @given(CONFIDENCES, CONFIDENCES, WAITING)
    def test_a_surer_answer_is_never_replaced_before_a_weaker_one(
        self, one, other, waiting
    ):
        weaker, surer = sorted((one, other))
        if self.is_replaced(confidence=surer, waiting=waiting):
            self.assertTrue(
                self.is_replaced(confidence=weaker, waiting=waiting)
            )

    @given(
        CONFIDENCES,
        strategies.floats(min_value=0, max_value=1e9),
        strategies.floats(min_value=0, max_value=1e9),
    )
    def test_any_times_give_a_decision(self, confidence, first_ms, elapsed_ms):
        """A clock that jumped, or a model that was never observed."""
        self.is_replaced(
            confidence=confidence,
            first_event=first_ms * MS,
            elapsed=elapsed_ms * MS,
        )


class GenerationTimesTest(unittest.TestCase):
    def test_it_learns_what_an_engine_takes(self):
        """Engines of another deployment prefill four times faster. After some
        minutes of answers the expected times match theirs.
        """
        drawn = random.Random(1)
        times = generation_times.GenerationTimes()

        def true_ms(waiting_ms, tokens):
            return 40 + 0.7 * waiting_ms + 9 * tokens / 1000

        for _ in range(600):
            waiting_ms = drawn.uniform(0, 340)
            tokens = drawn.randrange(500, 20_000)
            took_ms = true_ms(waiting_ms, tokens) * drawn.uniform(0.8, 1.2)
            times.note_first_event(
                "m", waiting=waiting_ms * MS, tokens=tokens, took=took_ms * MS
            )
        for waiting_ms, tokens in ((0, 2000), (170, 9000), (306, 15_000)):
            expected = times.time_to_first_event(
                "m", waiting=waiting_ms * MS, tokens=tokens
            )
            wanted = true_ms(waiting_ms, tokens)
            self.assertLess(abs(expected / MS - wanted), 40)

    def test_it_learns_how_quickly_a_model_generates(self):
        times = generation_times.GenerationTimes()
        self.assertEqual(times.generation_time("m", 100), 0 * MS)
        for _ in range(60):
            times.note_generation("m", tokens=50, took=1500 * MS)
        self.assertAlmostEqual(
            times.generation_time("m", 100) / MS, 3000, delta=1
        )

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(min_value=0, max_value=1e4),
                strategies.integers(min_value=0, max_value=10**6),
                strategies.floats(min_value=0, max_value=1e9),
            ),
            max_size=50,
        )
    )
    def test_no_observation_makes_it_expect_a_negative_time(self, observed):
        times = generation_times.GenerationTimes()
        for waiting_ms, tokens, took_ms in observed:
            times.note_first_event(
                "m", waiting=waiting_ms * MS, tokens=tokens, took=took_ms * MS
            )
        for waiting_ms, tokens in ((0.0, 0), (5.0, 1000), (100.0, 10**6)):
            self.assertGreaterEqual(
                times.time_to_first_event(
                    "m", waiting=waiting_ms * MS, tokens=tokens
                ),
                0 * MS,
            )
            self.assertGreaterEqual(times.prefill_time("m", tokens), 0 * MS)


if __name__ == "__main__":
    unittest.main()
