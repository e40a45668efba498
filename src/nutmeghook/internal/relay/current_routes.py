"""Finds the service of a request's next attempt in the current configuration.

A request is admitted under the configuration of its arrival. While it is under
way, its key may be revoked, or its route be removed or moved to another
service. The effect depends on the progress of the request:

- Nothing has run: it is checked again, and denied if it would be denied now,
  even if it was admitted before it waited.
- A replica may have begun to run it: it stays admitted to its end. A further
  attempt is no new request, and the caller is owed the answer to the request
  that was accepted.
- The caller has part of the answer: it stays with its service, since texts of
  two services must not be joined.
"""

from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import denials
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model

_REVOKED = "route or key was taken away meanwhile"


class CurrentRoutes:
    """Looks up routes and keys of requests under way."""

    __slots__ = ("_configuration",)

    def __init__(self, *, configuration: in_force_module.ConfigurationInForce):
        self._configuration = configuration

    def service_for(self, job: job_module.Job, *, may_have_run: bool) -> str:
        """Returns the service that the next attempt goes to.

        Args:
            job: The request.
            may_have_run: A replica may have begun to work on it.

        Raises:
            rejections.RejectedError: It has not run, and its route was removed
                or its key revoked.
        """
        if job.sink.begun:
            return job.service
        if not may_have_run:
            return attempt_facts.service_for(self._recheck(job), job)
        route = self._find_route(job)
        if route is None or route.name != job.route.name:
            return job.service
        return attempt_facts.service_for(route, job)

    def _recheck(self, job: job_module.Job) -> model.Route:
        denials.require_current(self._configuration)
        route = self._find_route(job)
        if route is None:
            raise self._denial(wire.FixedResponse.NO_ROUTE)
        api_key = job.incoming.facts.api_key
        if not self._configuration.current.admits_key(route, api_key):
            raise self._denial(wire.FixedResponse.BAD_KEY)
        return route

    def _denial(self, response: wire.FixedResponse) -> rejections.RejectedError:
        return denials.denial(self._configuration, response, reason=_REVOKED)

    def _find_route(self, job: job_module.Job) -> model.Route | None:
        incoming = job.incoming
        return self._configuration.current.find(
            incoming.host_name, incoming.path
        )
