"""One entry instance: all components, built in order of dependency."""

import asyncio
import datetime
import random

from nutmeghook.internal.administration import application as admin_application
from nutmeghook.internal.administration import principals
from nutmeghook.internal.assembly import cascades
from nutmeghook.internal.assembly import gauges
from nutmeghook.internal.assembly import inner_endpoint
from nutmeghook.internal.assembly import observation
from nutmeghook.internal.assembly import platform_clients
from nutmeghook.internal.assembly import rollouts
from nutmeghook.internal.assembly import waiting
from nutmeghook.internal.clients import bounds
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.config import assembly as config_assembly
from nutmeghook.internal.config import tokens as tokens_module
from nutmeghook.internal.dependencies import shared_instances
from nutmeghook.internal.dispatch import dispatcher as dispatcher_module
from nutmeghook.internal.dispatch import ratings as rating_queue
from nutmeghook.internal.entry import application as entry_application
from nutmeghook.internal.entry import drain as drain_module
from nutmeghook.internal.entry import listener as listener_module
from nutmeghook.internal.entry import shutdown
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.foundation import identifiers
from nutmeghook.internal.inner import peer_messages
from nutmeghook.internal.ledger import factory as ledger_factory
from nutmeghook.internal.ledger import settings as ledger_settings
from nutmeghook.internal.limits import adaptive_limit
from nutmeghook.internal.limits import ceiling
from nutmeghook.internal.limits import concurrency_limit
from nutmeghook.internal.limits import fair_admission
from nutmeghook.internal.limits import retry_budget
from nutmeghook.internal.limits import token_budget
from nutmeghook.internal.observe import events as events_module
from nutmeghook.internal.observe import gathering
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.observe import request_meter
from nutmeghook.internal.orders import cell_reports
from nutmeghook.internal.orders import readiness
from nutmeghook.internal.orders import service as orders_service
from nutmeghook.internal.rollout import ready_gate
from nutmeghook.internal.routing import service as routing_service
from nutmeghook.internal.routing import version_choice
from nutmeghook.internal.settings import loading
from nutmeghook.internal.suspects import gossip as suspect_gossip
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.suspects import rows
from nutmeghook.internal.table_replication import peer_sampling

# All components share the reads of the platform's instance list. These are the
# oldest lists that membership and orders accept.
_MEMBERSHIP_LIST_AGE = datetime.timedelta(seconds=3)
_ORDERS_LIST_AGE = datetime.timedelta(seconds=1.5)
_LEDGER_DRAIN = datetime.timedelta(seconds=5)


class Instance:
    """Builds the components, runs them and stops them in order."""

    __slots__ = (
        "_cascades",
        "_ceiling",
        "_clients",
        "_clock",
        "_dispatcher",
        "_drain",
        "_inner",
        "_instances",
        "_ledger",
        "_listener",
        "_orders",
        "_random",
        "_rating_queue",
        "_rollouts",
        "_routing",
        "_settings",
        "config",
        "events",
        "identifiers",
        "members",
        "metrics",
        "suspects",
    )

    def __init__(
        self, *, settings: loading.Settings, clock: clock_module.Clock
    ):
        self._settings = settings
        self._clock = clock
        self.identifiers = identifiers.IdentifierSource()
        self._random = random.Random(self.identifiers.incarnation)
        self.events = events_module.EventRing(
            clock=clock, capacity_events=settings.count("event_ring_events")
        )
        self.metrics = metrics_module.Metrics()
        self.suspects = registry_module.SuspectRegistry(
            clock=clock, probe_rank=self._random.random()
        )
        self._clients = platform_clients.open_clients(settings)
        self._instances = shared_instances.SharedInstanceList(
            instance_list=self._clients.instance_list, clock=clock
        )
        self._inner = inner_endpoint.InnerEndpoint(
            settings=settings,
            client_bounds=self._client_bounds(),
            clock=clock,
            random_source=self._random,
        )

    @property
    def inner_address(self) -> str:
        """The address for other instances; known once it has started."""
        return self._inner.address

    async def start(self) -> str:
        """Listens for instances and callers; returns the callers' address."""
        await self._inner.start(
            ids=self.identifiers,
            instance_list=self._instances.recent(_MEMBERSHIP_LIST_AGE),
            random_source=self._random,
            events=self.events,
        )
        self.members = self._inner.membership
        self.config = config_assembly.build(
            table=self._clients.table,
            members=self.members,
            caller=self._inner.caller,
            handlers=self._inner.handlers,
            clock=self._clock,
            events=self.events,
            random=self._random,
        )
        self._ledger = self._build_ledger()
        self._routing = routing_service.build_backend_routing(
            clock=self._clock,
            events=self.events,
            members=self.members,
            caller=self._inner.caller,
            handlers=self._inner.handlers,
            instance_list=self._instances,
            connector=self._clients.engines,
            rng=self._random,
        )
        self._orders = self._build_orders()
        self._build_request_path()
        host, _, port = self._settings.text("listen_address").rpartition(":")
        await self._listener.start(host=host, port=int(port))
        self.events.record(
            events_module.EventKind.PROCESS_STARTED,
            self.identifiers.incarnation,
            address=self._listener.address,
        )
        return self._listener.address

    def _build_ledger(self) -> ledger_factory.InstanceLedger:
        settings = self._settings
        return ledger_factory.InstanceLedger(
            members=self.members,
            table=self._clients.table,
            objects=self._clients.objects,
            peer_caller=self._inner.caller,
            handlers=self._inner.handlers,
            clock=self._clock,
            rng=self._random,
            events=self.events,
            settings=ledger_settings.LedgerSettings(
                partitions=settings.count("ledger_partitions"),
                writes_per_s=settings.count("ledger_writes_per_s"),
                window=datetime.timedelta(
                    seconds=settings.count("claim_retention_s")
                ),
            ),
        )

    def _build_request_path(self) -> None:
        self._rollouts = rollouts.RollOuts(
            members=self.members,
            config=self.config,
            table=self._ledger.table,
            ratings=self._clients.ratings,
            caller=self._inner.caller,
            handlers=self._inner.handlers,
            clock=self._clock,
            events=self.events,
            random_source=self._random,
        )
        self._cascades = cascades.Cascades(
            members=self.members,
            view=self.config.replica,
            table=self._ledger.table,
            ratings=self._clients.ratings,
            clock=self._clock,
            events=self.events,
            random_source=self._random,
        )
        meter = request_meter.MetricsMeter(metrics=self.metrics)
        self._rating_queue = rating_queue.RatingQueue(
            service=self._clients.ratings, clock=self._clock, meter=meter
        )
        self._dispatcher = dispatcher_module.Dispatcher(
            clock=self._clock,
            config=self.config.replica,
            versions=version_choice.ConfiguredVersionChooser(
                view=self.config.replica,
                pins=self._ledger.pins,
                gate=self._ready_gate(),
            ),
            backends=self._routing.chooser,
            engines=self._clients.engines,
            services=self._clients.services,
            cascade=self._cascades.policy,
            admission=self._build_admission(),
            plain_admission=self._fair_admission(
                adaptive_limit.AdaptiveLimit(
                    ceiling=self._settings.count("concurrent_plain_calls")
                )
            ),
            retry_budgets=retry_budget.RetryBudgets(),
            ledger=self._ledger.client,
            suspects=self.suspects,
            ratings=self._rating_queue,
            events=self.events,
            meter=meter,
            random_source=self._random,
        )
        self._drain = drain_module.Drain(events=self.events)
        tokens = tokens_module.TokenIndex(config=self.config.replica)
        application = entry_application.build_application(
            clock=self._clock,
            config=self.config.replica,
            tokens=tokens,
            dispatcher=self._dispatcher,
            drain=self._drain,
            identifiers=self.identifiers,
            knows_backends=self._routing.is_ready,
        )
        finder = principals.PrincipalFinder(
            tokens=tokens,
            platform_team=self._settings.text("platform_team"),
            bootstrap_sha256=self._settings.text("administrator_token_sha256"),
        )
        application.add_subapp(
            admin_application.PREFIX,
            admin_application.build_application(
                config=self.config,
                principals=finder,
                sources=waiting.sources(
                    view=self.config.replica, ledger=self._ledger
                ),
                bills=self._ledger.bill_reader,
            ),
        )
        client_bounds = self._client_bounds()
        connections = connection_table.ConnectionTable(
            name="callers",
            max_connections=client_bounds.callers,
            bound_bytes=client_bounds.callers_bytes,
            metrics=self.metrics,
            clock=self._clock,
        )
        observation.add_routes(
            application,
            metrics=self.metrics,
            gauges=gauges.Gauges(
                metrics=self.metrics,
                config=self.config.replica,
                members=self.members,
                ledger=self._ledger,
                suspects=self.suspects,
                connections=connections,
            ),
            gatherer=gathering.EventsGatherer(
                ring=self.events,
                members=self.members,
                caller=self._inner.caller,
                handlers=self._inner.handlers,
                clock=self._clock,
            ),
            principals=finder,
        )
        self._listener = listener_module.Listener(
            application=application, connections=connections
        )

    def _client_bounds(self) -> bounds.ClientBounds:
        return bounds.bounds_for(
            memory_mb=self._settings.count("memory_mb"),
            max_descriptors=self._settings.count("max_descriptors"),
        )

    def _ready_gate(self) -> ready_gate.ReadyExposureGate:
        known = readiness.Readiness(
            known=self._routing.directory.known, clock=self._clock
        )
        return ready_gate.ReadyExposureGate(
            gate=self._rollouts.gate,
            is_ready=lambda version, percent: known.is_ready_for(
                version, share_percent=percent
            ),
        )

    def _build_orders(self) -> orders_service.Orders:
        return orders_service.Orders(
            members=self.members,
            view=self.config.replica,
            table=self._ledger.table,
            weights=self._clients.weights,
            instance_list=self._instances.recent(_ORDERS_LIST_AGE),
            connector=self._clients.engines,
            reports=cell_reports.CellReports(
                members=self.members,
                caller=self._inner.caller,
                handlers=self._inner.handlers,
                known=self._routing.directory.known,
                clock=self._clock,
            ),
            clock=self._clock,
            events=self.events,
            random_source=self._random,
            secret=self._settings.text("orders_secret"),
        )

    def _build_admission(self) -> fair_admission.FairAdmission:
        max_slots = self._settings.count("concurrent_requests")
        limit = adaptive_limit.AdaptiveLimit(ceiling=max_slots)
        self._ceiling = ceiling.CeilingUpdater(
            limit=limit,
            known=self._routing.directory.known,
            members=self.members,
            clock=self._clock,
            max_slots=max_slots,
        )
        return self._fair_admission(limit)

    def _fair_admission(
        self, limit: concurrency_limit.ConcurrencyLimit
    ) -> fair_admission.FairAdmission:
        return fair_admission.FairAdmission(
            clock=self._clock,
            randomness=self._random,
            limit=limit,
            budgets=token_budget.TokenBudgets(
                clock=self._clock, members=self.members
            ),
            max_waiting=self._settings.count("queued_requests"),
        )

    async def run(self) -> None:
        """Runs the background tasks until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.members.run())
            tasks.create_task(self.config.distributor.run())
            tasks.create_task(self._rollouts.run())
            tasks.create_task(self._cascades.run())
            tasks.create_task(self._orders.run())
            tasks.create_task(self._ledger.run())
            tasks.create_task(self._routing.run())
            tasks.create_task(self._rating_queue.run())
            tasks.create_task(self._ceiling.run())
            tasks.create_task(self._suspect_gossip().run())
            tasks.create_task(self._quarantine_rows().run())

    def _suspect_gossip(self) -> suspect_gossip.SuspectGossip:
        return suspect_gossip.SuspectGossip(
            registry=self.suspects,
            messages=peer_messages.PeerMessages(
                caller=self._inner.caller, handlers=self._inner.handlers
            ),
            sample_peers=self._sample_members,
            clock=self._clock,
            random_source=self._random,
        )

    def _sample_members(self, *, local: int, remote: float) -> list[str]:
        """Returns the inner addresses of some other instances."""
        others = [m for m in self.members.members() if m != self.members.myself]
        sampler = peer_sampling.PeerSampler(
            data_centre=self._settings.text("data_centre"),
            random_source=self._random,
        )
        return sampler.choose(
            {m.incarnation: m.inner_address for m in others},
            {m.incarnation: m.data_centre for m in others},
            local=local,
            remote=remote,
        )

    def _quarantine_rows(self) -> rows.QuarantineRows:
        return rows.QuarantineRows(
            registry=self.suspects,
            table=self._ledger.table,
            clock=self._clock,
            random_source=self._random,
        )

    async def leave(self) -> None:
        """Stops accepting requests, drains them and releases the leases."""
        self.members.announce_leaving()
        await shutdown.shut_down(
            clock=self._clock,
            drain=self._drain,
            listener=self._listener,
            dispatcher=self._dispatcher,
            lag=datetime.timedelta(
                milliseconds=self._settings.count("drain_lag_ms")
            ),
        )
        await self._rollouts.release()
        await self._cascades.release()
        await self._orders.release()
        await self._ledger.drain(timeout=_LEDGER_DRAIN)

    async def close(self) -> None:
        """Closes all connections."""
        await self._inner.close()
        await self._clients.close()
