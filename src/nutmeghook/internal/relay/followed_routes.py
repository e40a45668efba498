"""Which service a request's next attempt goes to, as the operator has it.

A request is let in by the configuration of its arrival. The operator may take
its key or its route away while it is under way, or move the route to another
service. What then becomes of it depends on how far it has come:

- Nothing has run: it is looked at again, and denied if it would be denied now.
  It may have waited, and is not let in late.
- A replica may have begun to work on it: it stays let in to its end. A further
  attempt is no new request, and whoever may not send new ones is still owed the
  answer to the one that was accepted.
- The caller has part of the answer: it goes on in the same service, since
  texts of two services must not be joined.
"""

from nutmeghook.internal.relay import attempt_facts
from nutmeghook.internal.relay import denials
from nutmeghook.internal.relay import job as job_module
from nutmeghook.internal.relay import rejections
from nutmeghook.internal.relay import wire
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.routes import model

_TAKEN_AWAY = "route or key was taken away meanwhile"


class FollowedRoutes:
    """Looks requests' routes and keys up again."""

    __slots__ = ("_configuration",)

    def __init__(self, *, configuration: in_force_module.ConfigurationInForce):
        self._configuration = configuration

    def service_for(self, job: job_module.Job, *, may_have_run: bool) -> str:
        """Returns the service that the next attempt goes to.

        Args:
            job: The request.
            may_have_run: A replica may have begun to work on it.

        Raises:
            rejections.RejectedError: It may not, and its route or key was
                taken away.
        """
        if job.sink.begun:
            return job.service
        if not may_have_run:
            return attempt_facts.service_for(self._checked(job), job)
        route = self._found(job)
        if route is None or route.name != job.route.name:
            return job.service
        return attempt_facts.service_for(route, job)

    def _checked(self, job: job_module.Job) -> model.Route:
        route = self._found(job)
        if route is None:
            raise self._denial(wire.FixedResponse.NO_ROUTE)
        api_key = job.incoming.facts.api_key
        if not self._configuration.current.admits_key(route, api_key):
            raise self._denial(wire.FixedResponse.BAD_KEY)
        return route

    def _denial(self, response: wire.FixedResponse) -> rejections.RejectedError:
        return denials.denial(self._configuration, response, reason=_TAKEN_AWAY)

    def _found(self, job: job_module.Job) -> model.Route | None:
        incoming = job.incoming
        return self._configuration.current.find(
            incoming.host_name, incoming.path
        )
