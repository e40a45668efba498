"""The unmodified official `openai` client with the request path."""

import unittest

import openai

from nutmeghook.internal.dependencies import engine
from nutmeghook.internal.foundation import clock
from tests import entry_fixture
from tests import fake_config
from tests import fakes

QUESTION = [{"role": "user", "content": "Does the boiler hold?"}]
ANSWER = "The boiler holds."


class OpenAIClientTest(unittest.IsolatedAsyncioTestCase):
    """Over TCP, with fakes of the engine and the ledger."""

    async def asyncSetUp(self):
        self.fixture = fakes.Fixture(clock=clock.SystemClock())
        self.listener = entry_fixture.listener(self.fixture)
        await self.listener.start(host="127.0.0.1", port=0)
        self.addAsyncCleanup(self.listener.stop)
        self.client = openai.AsyncOpenAI(
            base_url=f"http://{self.listener.address}/v1",
            api_key=fake_config.TOKEN,
            max_retries=0,
        )
        self.addAsyncCleanup(self.client.close)

    async def test_completes_without_streaming(self):
        completion = await self.client.chat.completions.create(
            model="review", messages=QUESTION
        )
        self.assertEqual(completion.choices[0].message.content, ANSWER)
        self.assertEqual(completion.usage.completion_tokens, 3)
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_streams(self):
        stream = await self.client.chat.completions.create(
            model="review",
            messages=QUESTION,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = [chunk async for chunk in stream]
        text = "".join(c.choices[0].delta.content or "" for c in chunks[:-1])
        self.assertEqual(text, ANSWER)
        self.assertEqual(chunks[-2].choices[0].finish_reason, "stop")
        self.assertEqual(chunks[-1].usage.completion_tokens, 3)

    async def test_a_retry_gets_the_first_answer_as_a_stream_too(self):
        texts = []
        for _ in range(2):
            stream = await self.client.chat.completions.create(
                model="review",
                messages=QUESTION,
                stream=True,
                extra_headers={"Idempotency-Key": "finding-7"},
            )
            texts.append(
                "".join(
                    [c.choices[0].delta.content or "" async for c in stream]
                )
            )
        self.assertEqual(texts, [ANSWER, ANSWER])
        self.assertEqual(len(self.fixture.ledger.bills), 1)

    async def test_lists_the_teams_templates(self):
        models = await self.client.models.list()
        self.assertEqual([model.id for model in models.data], ["review"])

    async def test_an_error_carries_code_and_run_state(self):
        with self.assertRaises(openai.NotFoundError) as caught:
            await self.client.chat.completions.create(
                model="nothing", messages=QUESTION
            )
        self.assertEqual(caught.exception.body["code"], 2004)
        self.assertEqual(caught.exception.body["run_state"], "not_run")

    async def test_an_error_in_mid_stream_reaches_the_client(self):
        self.fixture.budget.permits = 0
        failing = fakes.Script(
            words=("The ", ""), finish=engine.FinishReason.FAILED
        )
        self.fixture.engines["e1:1"].scripts.append(failing)
        stream = await self.client.chat.completions.create(
            model="review", messages=QUESTION, stream=True
        )
        text = ""
        with self.assertRaises(openai.APIError) as caught:
            async for chunk in stream:
                text += chunk.choices[0].delta.content or ""
        self.assertEqual(text, "The ")
        self.assertEqual(caught.exception.body["name"], "BACKEND_FAILED")
        self.assertEqual(self.fixture.ledger.bills, [])
