"""The settings file that the platform gives a process."""

from collections.abc import Mapping
import dataclasses
import datetime
import pathlib
import tomllib
from typing import Any

FILE_VARIABLE = "NUTMEGHOOK_NODE_FILE"
METRICS_PORT_VARIABLE = "NUTMEGHOOK_METRICS_PORT"
DEFAULT_METRICS_PORT = 9464
DEFAULT_FILE = "/etc/nutmeghook/local.toml"
# Used if the file names no rate: that of Fast Ethernet.
_DEFAULT_LINK_MBIT_PER_S = 100.0
# Used if the file names no memory limit.
_DEFAULT_MEMORY_MB = 300.0
# Used if the file names no limit of descriptors.
_DEFAULT_DESCRIPTORS = 4096


class SettingError(ValueError):
    """One value is missing or wrong; the text says what is needed."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class RetryBounds:
    """How many retries a service may get from all instances together.

    Attributes:
        ratio: Retries per request.
        window: The time over which both are counted.
    """

    ratio: float
    window: datetime.timedelta


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class InstanceSettings:
    """The settings of one instance.

    Attributes:
        instance_id: The instance's name.
        caller_address: Where callers connect, `ip:port`.
        ready_address: Where the balancer asks whether to send callers.
        inner_address: Where other instances connect.
        metrics_port: Where metrics are served; 0 for any free port.
        store_address: The platform's store.
        regions: The regions of data centres, this instance's among them.
        link_mbit_per_s: What the instance's network link carries.
        memory_mb: The memory above which the platform kills the process.
        max_descriptors: How many descriptors the process may have.
        change_time: The time within which a change of the configuration, or
            the leaving of a replica, must be in force on all instances.
        heartbeat_interval: The time between two heartbeats of a replica; its
            entry expires after three without one.
        stop_time: From SIGTERM to SIGKILL.
        session_time: Requests of a session that are further apart than this
            count as unrelated.
        largest_bad_share: The largest share of a service's requests, from a
            roll-out order to its end, that a bad version may get.
        bad_allowance: Requests that it may get beyond that share.
        cold_overrun: The multiple of its service's `cold_per_s` that a cold
            replica may get in one second.
        cold_allowance: Requests that it may get beyond that.
    """

    instance_id: str
    ip: str
    caller_address: str
    ready_address: str
    inner_address: str
    metrics_port: int
    store_address: str
    data_centre: str
    region: str
    regions: dict[str, str]
    link_mbit_per_s: float
    memory_mb: float
    max_descriptors: int
    change_time: datetime.timedelta
    heartbeat_interval: datetime.timedelta
    stop_time: datetime.timedelta
    session_time: datetime.timedelta
    largest_bad_share: float
    bad_allowance: float
    cold_overrun: float
    cold_allowance: float
    retries: RetryBounds


class _Reader:
    """Reads values by their path and collects every fault."""

    __slots__ = ("_table", "faults")

    def __init__(self, *, table: Mapping[str, Any]):
        self._table = table
        self.faults: list[SettingError] = []

    def text(self, path: str) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._fault(path, value, "a text that is not empty")
        return ""

    def texts(self, path: str) -> dict[str, str]:
        """Reads a table of texts; none where it is missing."""
        value = self._find(path)
        if value is None:
            return {}
        if isinstance(value, Mapping) and all(
            isinstance(text, str) for text in value.values()
        ):
            return dict(value)
        self._fault(path, value, "a table of texts")
        return {}

    def address(self, path: str) -> str:
        text = self.text(path)
        host, _, port = text.rpartition(":")
        if text and not (host and port.isdigit() and int(port) < 65536):
            self._fault(path, text, "an address like 10.1.0.40:8227")
        return text

    def number(
        self, path: str, *, default: float, minimum: float = 0.0
    ) -> float:
        value = self._find(path)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._fault(path, value, "a number")
            return default
        if value < minimum:
            self._fault(path, value, f"a number of {minimum:g} or more")
            return default
        return float(value)

    def port(self, name: str, text: str) -> int:
        """Reads a port that is given as a text outside the file."""
        if text.isdigit() and int(text) < 65536:
            return int(text)
        self._fault(name, text, "a port from 0 to 65535")
        return 0

    def ports(self, path: str) -> tuple[int, int]:
        value = self._find(path)
        if (
            isinstance(value, list)
            and len(value) == 2
            and all(isinstance(port, int) for port in value)
            and 0 < value[0] < value[1] < 65536
        ):
            return (value[0], value[1])
        self._fault(path, value, "two ports, the lower one first")
        return (0, 0)

    def _find(self, path: str) -> object:
        value: object = self._table
        for name in path.split("."):
            if not isinstance(value, Mapping):
                return None
            value = value.get(name)
        return value

    def _fault(self, path: str, value: object, wanted: str) -> None:
        shown = "missing" if value is None else f"{value!r}"
        self.faults.append(SettingError(f"{path} is {shown}; give {wanted}"))


def load(
    text: str, *, metrics_port: str = str(DEFAULT_METRICS_PORT)
) -> InstanceSettings:
    """Reads the settings file's text; unknown fields are ignored.

    Args:
        text: The file's text.
        metrics_port: The metrics port, which is not in the file.

    Raises:
        ExceptionGroup: One `SettingError` for each fault.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExceptionGroup(
            "settings are wrong", [SettingError(f"not TOML: {error}")]
        ) from error
    reader = _Reader(table=table)
    first_inner_port, _ = reader.ports("internalPorts")
    ip = reader.text("ip")
    data_centre = reader.text("zone")
    region = reader.text("region")
    settings = InstanceSettings(
        instance_id=reader.text("nodeName"),
        ip=ip,
        caller_address=reader.address("listen.front"),
        ready_address=reader.address("listen.ready"),
        inner_address=f"{ip}:{first_inner_port}",
        metrics_port=reader.port(METRICS_PORT_VARIABLE, metrics_port),
        store_address=reader.address("platform.address"),
        data_centre=data_centre,
        region=region,
        regions=reader.texts("zones") | {data_centre: region},
        link_mbit_per_s=reader.number(
            "limits.linkMbps", default=_DEFAULT_LINK_MBIT_PER_S, minimum=0.1
        ),
        memory_mb=reader.number(
            "limits.memoryMb", default=_DEFAULT_MEMORY_MB, minimum=1.0
        ),
        max_descriptors=int(
            reader.number(
                "limits.maxFds", default=_DEFAULT_DESCRIPTORS, minimum=1
            )
        ),
        change_time=min(
            _milliseconds(reader.number("bounds.configApplyMs", default=2000)),
            _milliseconds(reader.number("bounds.drainMs", default=2000)),
        ),
        heartbeat_interval=_milliseconds(
            reader.number("heartbeatMs", default=1200, minimum=1)
        ),
        stop_time=_seconds(reader.number("bounds.graceS", default=8)),
        session_time=_seconds(reader.number("bounds.sessionS", default=5)),
        largest_bad_share=reader.number("bounds.exposureShare", default=0.1),
        bad_allowance=reader.number("bounds.exposureAllowance", default=0),
        cold_overrun=reader.number("bounds.coldOverrun", default=1),
        cold_allowance=reader.number("bounds.coldAllowance", default=0),
        retries=RetryBounds(
            ratio=reader.number("bounds.retryRatio", default=0.1),
            window=_seconds(reader.number("bounds.retryWindowS", default=10)),
        ),
    )
    if reader.faults:
        raise ExceptionGroup("settings are wrong", reader.faults)
    return settings


def load_file(environment: Mapping[str, str]) -> InstanceSettings:
    """Reads the file that the environment names.

    Raises:
        ExceptionGroup: The file can't be read, or has faults.
    """
    path = pathlib.Path(environment.get(FILE_VARIABLE, DEFAULT_FILE))
    try:
        text = path.read_text()
    except OSError as error:
        raise ExceptionGroup(
            "settings are wrong",
            [SettingError(f"{path} can't be read: {error}")],
        ) from error
    return load(
        text,
        metrics_port=environment.get(
            METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT)
        ),
    )


def _seconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=number)


def _milliseconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=number)


def printable_lines(settings: InstanceSettings) -> list[str]:
    """Returns `name=value` lines of what is in force."""
    lines = []
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if not dataclasses.is_dataclass(value):
            lines.append(f"{field.name}={value}")
            continue
        lines.extend(
            f"{field.name}.{part.name}={getattr(value, part.name)}"
            for part in dataclasses.fields(value)
        )
    return lines
