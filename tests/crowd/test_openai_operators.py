"""Crowds of strangers at the operators' paths of an instance."""

from tests.crowd import http_cases
from tests.crowd import openai_case


class OpenAiOperatorsTest(http_cases.HttpCases, openai_case.InstanceCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.address = self.front

    def head(self, number):
        return (
            b"POST /admin/v1/operations HTTP/1.1\r\nHost: entry\r\n"
            b"Authorization: Bearer nobody\r\n"
        )
