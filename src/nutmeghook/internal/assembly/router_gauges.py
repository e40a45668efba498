"""Brings a router's gauges up to date before its metrics are shown."""

from nutmeghook.internal.assembly import replica_access
from nutmeghook.internal.assembly import router_peers
from nutmeghook.internal.assembly import send_limits as send_limits_module
from nutmeghook.internal.clients import connection_table
from nutmeghook.internal.foundation import clock as clock_module
from nutmeghook.internal.observe import metrics as metrics_module
from nutmeghook.internal.relay import held_bytes
from nutmeghook.internal.replicas import directory as directory_module
from nutmeghook.internal.replicas import replica as replica_module
from nutmeghook.internal.replicas import speed_registry
from nutmeghook.internal.routes import in_force as in_force_module
from nutmeghook.internal.suspects import gauges as suspect_gauges
from nutmeghook.internal.suspects import registry as registry_module
from nutmeghook.internal.table_replication import follower


def refresh(
    metrics: metrics_module.Metrics,
    *,
    configuration: in_force_module.ConfigurationInForce,
    suspects: registry_module.SuspectRegistry,
    send_limits: send_limits_module.SendLimits,
    speeds: speed_registry.SpeedRegistry,
    directory: directory_module.ReplicaDirectory,
    access: replica_access.ReplicaAccess,
    peers: router_peers.RouterPeers | None,
    held: held_bytes.HeldBytes,
    connections: connection_table.ConnectionTable,
    store_monitor: follower.StoreMonitor,
    clock: clock_module.Clock,
) -> None:
    """Sets all gauges.

    Args:
        metrics: Whose gauges are set.
        configuration: The configuration in force.
        suspects: The quarantined requests and prompt parts.
        send_limits: The limits on what may be sent.
        speeds: The estimated speeds of replicas.
        directory: The known replicas.
        access: This instance's paths to replicas, and its tunnels.
        peers: The peers; None before the router runs.
        held: The bytes held for requests.
        connections: The callers' connections.
        store_monitor: Knows the store's epoch.
        clock: Measures time.
    """
    metrics.set("configuration_version", configuration.version)
    metrics.set(
        "configuration_proof_age_seconds", configuration.proof_age_ms() / 1000
    )
    suspect_gauges.set_gauges(metrics, suspects)
    metrics.set("evacuated_data_centres", len(send_limits.evacuations.all()))
    metrics.set("held_bytes", held.total_bytes)
    connections.set_gauges()
    metrics.set("store_epoch", store_monitor.epoch or 0)
    now = clock.monotonic()
    cold = [r for r in directory.all() if r.is_cold(now)]
    _set_open(metrics, "cold_replicas", send_limits, cold)
    asking = send_limits.signals.asking()
    limited = [r for r in asking if r.rate_limit_per_s is not None]
    _set_open(metrics, "limited_replicas", send_limits, limited)
    metrics.set("brittle_replicas", send_limits.signals.brittle.count())
    metrics.set("slow_replicas", speeds.slow_count())
    paths = access.pool.paths
    metrics.set("lost_paths", paths.lost_count)
    metrics.set("bypassed_paths", len(paths.bypassed()))
    metrics.set("tunnels_carried", access.server.open_count)
    metrics.set("cut_off", int(paths.is_cut_off))
    if peers is None:
        return
    metrics.set("peer_unreadable_datagrams", peers.traffic.unreadable)
    for kind, counted in peers.traffic.kinds().items():
        metrics.set("peer_sent_bytes", counted.sent_bytes, kind=kind)


def _set_open(
    metrics: metrics_module.Metrics,
    name: str,
    send_limits: send_limits_module.SendLimits,
    replicas: list[replica_module.Replica],
) -> None:
    """Sets how many replicas this instance may send to now, and may not."""
    opened = sum(map(send_limits.gate.is_open, replicas))
    metrics.set(name, opened, open="yes")
    metrics.set(name, len(replicas) - opened, open="no")
