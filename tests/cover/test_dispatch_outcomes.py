"""A generation's outcome under random failures of all its connections."""

import asyncio
import datetime
import unittest

import hypothesis
from hypothesis import strategies

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import errors
from tests import fakes
from tests.cover import dispatch_errors

WORDS = ("The ", "boiler ", "holds ", "well.")
WHOLE = "".join(WORDS)


@strategies.composite
def _scripts(draw) -> fakes.Script:
    """One connection to an engine: refused, lost, cut, garbled or whole."""
    kind = draw(
        strategies.sampled_from(
            ["refused", "lost", "cut", "garbled", "failed", "other", "whole"]
        )
    )
    match kind:
        case "refused":
            return fakes.Script(fails=dispatch_errors.refused())
        case "lost":
            return fakes.Script(fails=dispatch_errors.lost())
        case "cut":
            return fakes.Script(
                words=WORDS, cut_after=draw(strategies.integers(0, 3))
            )
        case "garbled":
            order = draw(strategies.lists(strategies.integers(-1, 3)))
            return fakes.Script(words=WORDS, order=order)
        case "failed":
            return fakes.Script(words=WORDS, finish=engine.FinishReason.FAILED)
        case "other":
            return fakes.Script(words=("Another ", "text."))
    return fakes.Script(words=WORDS)


class OutcomeTest(unittest.TestCase):
    """Properties over random failures of all connections."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        scripts=strategies.lists(
            strategies.tuples(strategies.booleans(), _scripts()), max_size=7
        ),
        key=strategies.sampled_from(["", "finding-7"]),
        hedge_after_ms=strategies.sampled_from([0, 20]),
        may_escalate=strategies.booleans(),
        permits=strategies.integers(0, 6),
    )
    def test_one_version_s_complete_text_or_a_correct_error(
        self, scripts, key, hedge_after_ms, may_escalate, permits
    ):
        """Connections to two engines are refused, reset or cut, carry chunks
        twice, out of order or of another request, or give another text.

        What the caller has must be the answer, or on an error a prefix of one
        text; `not_run` must be provable; an answer has one bill and an error
        none; the claim must be settled accordingly.
        """

        async def scenario():
            fixture = fakes.Fixture(hedge_after_ms=hedge_after_ms)
            fixture.budget.permits = permits
            fixture.cascade = fakes.FakeCascade(
                first_stage=0, may_escalate=may_escalate
            )
            for second, script in scripts:
                address = "e2:1" if second else "e1:1"
                fixture.engines[address].scripts.append(script)
            for address in fixture.backends.addresses:
                fixture.engines[address].default = fakes.Script(words=WORDS)
            sink = fakes.RecordingSink()
            outcome = None
            try:
                outcome = await fakes.to_end(
                    fixture.clock,
                    fixture.dispatcher().generate(
                        fakes.generation_request(fixture, key=key), sink
                    ),
                )
            except errors.CodedError as error:
                outcome = error
            await fixture.clock.advance(datetime.timedelta(seconds=5))
            return fixture, sink, outcome

        fixture, sink, outcome = asyncio.run(scenario())
        if isinstance(outcome, errors.CodedError):
            self._check_error(fixture, sink, outcome, key)
        else:
            self._check_answer(fixture, sink, outcome)
        self._check_released(fixture, sink, outcome)
        [used_tokens] = fixture.admission.used
        ran = any(fake.ran for fake in fixture.engines.values())
        self.assertEqual(bool(used_tokens), ran)

    def _check_answer(self, fixture, sink, answer):
        self.assertEqual(sink.text, answer.text)
        self.assertIn(answer.text, (WHOLE, "Another text."))
        [bill] = fixture.ledger.bills
        self.assertGreaterEqual(bill.spent_micros, bill.cost_micros)
        self.assertEqual(fixture.ledger.unknown, [])
        self.assertEqual(fixture.ledger.released, [])
        billed_tokens = bill.prompt_tokens + bill.output_tokens
        self.assertGreaterEqual(fixture.admission.used[0], billed_tokens)

    def _check_released(self, fixture, sink, outcome):
        """Checks that exactly the choices without relayed text are released."""
        chosen, back = fixture.versions.chosen, fixture.versions.released
        self.assertEqual(back, chosen[: len(back)])
        answered = not isinstance(outcome, errors.CodedError)
        kept = chosen[len(back) :]
        self.assertEqual(len(kept), int(answered or bool(sink.text)))

    def _check_error(self, fixture, sink, error, key):
        whole_texts = (WHOLE, "Another text.")
        self.assertTrue(any(t.startswith(sink.text) for t in whole_texts))
        self.assertEqual(fixture.ledger.bills, [])
        ran = any(fake.ran for fake in fixture.engines.values())
        expected = codes.RunState.UNKNOWN if ran else codes.RunState.NOT_RUN
        self.assertEqual(error.run_state, expected)
        if key:
            self.assertEqual(bool(fixture.ledger.unknown), ran)
            self.assertEqual(bool(fixture.ledger.released), not ran)
