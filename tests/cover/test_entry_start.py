"""The HTTP entry of an instance that has just started."""

import aiohttp

from nutmeghook.internal.config import documents
from nutmeghook.internal.config import tokens
from nutmeghook.internal.entry import application as entry_application
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import codes
from nutmeghook.internal.foundation import identifiers
from tests import entry_fixture
from tests import fake_config
from tests.cover import test_entry_http


class BeforeConfigurationTest(test_entry_http.HTTPCase):
    """Before the first configuration has arrived."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fixture.config.current = documents.EMPTY_SNAPSHOT

    async def test_valid_token_is_not_rejected_before_configuration(self):
        """The load balancer sends a request before the first configuration
        has arrived, when every token is unknown. `BAD_TOKEN` would make the
        caller give up, so it must get a retryable error.
        """
        response = await self.session.post(
            test_entry_http.CHAT, json=test_entry_http.QUESTION
        )
        fields = await self.assert_coded(response, codes.Code.STALE_CONFIG)
        self.assertGreater(fields["retry_after_ms"], 0)
        response = await self.session.get("/v1/models")
        await self.assert_coded(response, codes.Code.STALE_CONFIG)

    async def test_wrong_token_is_rejected_after_configuration(self):
        self.fixture.config.current = fake_config.snapshot()
        response = await self.session.post(
            test_entry_http.CHAT,
            json=test_entry_http.QUESTION,
            headers={"Authorization": "Bearer other"},
        )
        await self.assert_coded(response, codes.Code.BAD_TOKEN)

    async def test_not_ready_before_load_reports_are_in(self):
        """A new instance knows two of twelve engines so far and would send
        all requests to these two, whose queues would last for minutes. So
        /readyz must fail until enough are known.
        """
        self.fixture.config.current = fake_config.snapshot()
        knows = False
        application = entry_application.build_application(
            clock=self.fixture.clock,
            config=self.fixture.config,
            tokens=tokens.TokenIndex(config=self.fixture.config),
            dispatcher=self.dispatcher,
            drain=self.drain,
            identifiers=identifiers.IdentifierSource(),
            knows_backends=lambda: knows,
        )
        listener = listener_module.Listener(
            application=application,
            connections=entry_fixture.connections(clock_module.FakeClock()),
        )
        await listener.start(host="127.0.0.1", port=0)
        self.addAsyncCleanup(listener.stop)
        url = f"http://{listener.address}/readyz"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                self.assertEqual(response.status, 503)
            knows = True
            async with session.get(url) as response:
                self.assertEqual(response.status, 200)
