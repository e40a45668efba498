"""An instance that has only just started."""

from nutmeghook.internal.config import documents
from nutmeghook.internal.foundation import codes
from tests import fakes
from tests.cover import test_entry_http


class FirstMomentsTest(test_entry_http.HTTPCase):
    """Before the first configuration has arrived."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fixture.config.current = documents.EMPTY_SNAPSHOT

    async def test_a_good_token_is_not_called_unknown(self):
        """The platform starts a new instance; the balancer sends it a request
        before its first configuration has come. Every token is unknown to it
        then. A caller told "bad token" would give up for good on a request
        that any other instance serves; it must be told to come back.
        """
        response = await self.session.post(
            test_entry_http.CHAT, json=test_entry_http.QUESTION
        )
        fields = await self.assert_coded(response, codes.Code.STALE_CONFIG)
        self.assertGreater(fields["retry_after_ms"], 0)
        response = await self.session.get("/v1/models")
        await self.assert_coded(response, codes.Code.STALE_CONFIG)

    async def test_a_wrong_token_is_told_once_there_is_a_configuration(self):
        self.fixture.config.current = fakes.snapshot()
        response = await self.session.post(
            test_entry_http.CHAT,
            json=test_entry_http.QUESTION,
            headers={"Authorization": "Bearer other"},
        )
        await self.assert_coded(response, codes.Code.BAD_TOKEN)
