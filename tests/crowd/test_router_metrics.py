"""Crowds at a router's port of metrics."""

from tests.crowd import http_cases
from tests.crowd import platform_case


class RouterMetricsTest(http_cases.HttpCases, platform_case.RouterCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.address = self.metrics

    def head(self, number):
        return b"GET /metrics HTTP/1.1\r\nHost: metrics\r\n"
