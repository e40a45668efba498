"""Crowds at the port where the balancer asks whether a router is ready."""

from tests.crowd import http_cases
from tests.crowd import platform_case


class RouterReadyTest(http_cases.HttpCases, platform_case.RouterCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.address = self.ready

    def head(self, number):
        return b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n"
