"""The unmodified openai client with a real instance and stand-ins."""

import asyncio
import pathlib
import tempfile
import unittest

import openai

from nutmeghook.experiment import example_fleet
from nutmeghook.experiment import system as system_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.standins import answers

TEAM = example_fleet.AGENCY_TEAMS[0]
TEMPLATE = "certificate-lookup"
QUESTION = [{"role": "user", "content": "marker=w1 Is boiler 7 certified?"}]


class OpenAiClientTest(unittest.TestCase):
    def test_completes_streams_and_lists_through_the_whole_path(self):
        with tempfile.TemporaryDirectory() as folder:
            whole, streamed, models = asyncio.run(
                self._scenario(pathlib.Path(folder))
            )
        for text in (whole, streamed):
            seen = answers.parse_answer(text)
            self.assertEqual(seen.marker, "w1")
            self.assertTrue(seen.whole)
        self.assertIn(TEMPLATE, models)

    async def _scenario(self, folder):
        system = system_module.System(
            folder=folder, clock=clock_module.SystemClock(), drain_lag_ms=100
        )
        tokens = example_fleet.new_tokens()
        await system.start_stand_ins(example_fleet.stand_ins())
        try:
            instance = await system.start_agency_instance()
            await system.import_example(tokens)
            async with openai.AsyncOpenAI(
                base_url=f"http://{instance.listen_address}/v1",
                api_key=tokens[TEAM],
            ) as client:
                return await self._ask(client)
        finally:
            await system.end()

    async def _ask(self, client):
        whole = await client.chat.completions.create(
            model=TEMPLATE, messages=QUESTION
        )
        stream = await client.chat.completions.create(
            model=TEMPLATE, messages=QUESTION, stream=True
        )
        pieces = [
            choice.delta.content or ""
            async for chunk in stream
            for choice in chunk.choices
        ]
        models = [model.id async for model in client.models.list()]
        return whole.choices[0].message.content, "".join(pieces), models
