"""The settings file that the platform gives a process."""

from collections.abc import Mapping
import datetime
import pathlib
import tomllib
from typing import Any

FILE_VARIABLE = "NUTMEGHOOK_NODE_FILE"
DEFAULT_FILE = "/etc/nutmeghook/local.toml"


class SettingError(ValueError):
    """One value is missing or wrong; the text says what is needed."""


class RollOutBounds:
    """How far a version that proves bad may reach.

    Attributes:
        largest_share: Of all requests of its service.
        allowance_requests: Beside that share.
        withdrawal_time: After it has proved bad, no request may reach it.
    """

    __slots__ = ("allowance_requests", "largest_share", "withdrawal_time")

    def __init__(
        self,
        *,
        largest_share: float,
        allowance_requests: int,
        withdrawal_time: datetime.timedelta,
    ):
        self.largest_share = largest_share
        self.allowance_requests = allowance_requests
        self.withdrawal_time = withdrawal_time


class RetryBounds:
    """How many repeats a service may get from all instances together.

    Attributes:
        ratio: Repeats per request.
        window: The span over which both are counted.
        allowance: Repeats beside the ratio, for the whole fleet.
    """

    __slots__ = ("allowance", "ratio", "window")

    def __init__(
        self, *, ratio: float, window: datetime.timedelta, allowance: int
    ):
        self.ratio = ratio
        self.window = window
        self.allowance = allowance


class InstanceSettings:
    """What a process learns at its start.

    Attributes:
        instance_id: The instance's name.
        caller_address: Where callers connect, `ip:port`.
        ready_address: Where the balancer asks whether to send callers.
        inner_address: Where other instances connect.
        metrics_port: Where metrics are served.
        store_address: The platform's store.
        stop_time: From SIGTERM to SIGKILL.
        session_time: Requests of a session further apart are strangers.
        replica_heartbeat: How often replicas write their entry.
    """

    __slots__ = (
        "caller_address",
        "data_centre",
        "inner_address",
        "instance_id",
        "ip",
        "metrics_port",
        "ready_address",
        "region",
        "replica_heartbeat",
        "retries",
        "roll_outs",
        "session_time",
        "stop_time",
        "store_address",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        ip: str,
        caller_address: str,
        ready_address: str,
        inner_address: str,
        metrics_port: int,
        store_address: str,
        data_centre: str,
        region: str,
        stop_time: datetime.timedelta,
        session_time: datetime.timedelta,
        replica_heartbeat: datetime.timedelta,
        roll_outs: RollOutBounds,
        retries: RetryBounds,
    ):
        self.instance_id = instance_id
        self.ip = ip
        self.caller_address = caller_address
        self.ready_address = ready_address
        self.inner_address = inner_address
        self.metrics_port = metrics_port
        self.store_address = store_address
        self.data_centre = data_centre
        self.region = region
        self.stop_time = stop_time
        self.session_time = session_time
        self.replica_heartbeat = replica_heartbeat
        self.roll_outs = roll_outs
        self.retries = retries


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

    def address(self, path: str) -> str:
        text = self.text(path)
        host, _, port = text.rpartition(":")
        if text and not (host and port.isdigit() and int(port) < 65536):
            self._fault(path, text, "an address like 10.1.0.40:8227")
        return text

    def number(self, path: str, *, default: float, least: float = 0.0) -> float:
        value = self._find(path)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._fault(path, value, "a number")
            return default
        if value < least:
            self._fault(path, value, f"a number of {least:g} or more")
            return default
        return float(value)

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


def load(text: str) -> InstanceSettings:
    """Reads the settings file's text; unknown fields are ignored.

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
    first_inner_port, last_inner_port = reader.ports("internalPorts")
    ip = reader.text("ip")
    settings = InstanceSettings(
        instance_id=reader.text("nodeName"),
        ip=ip,
        caller_address=reader.address("listen.front"),
        ready_address=reader.address("listen.ready"),
        inner_address=f"{ip}:{first_inner_port}",
        metrics_port=last_inner_port,
        store_address=reader.address("platform.address"),
        data_centre=reader.text("zone"),
        region=reader.text("region"),
        stop_time=_seconds(reader.number("bounds.graceS", default=8)),
        session_time=_seconds(reader.number("bounds.sessionS", default=5)),
        replica_heartbeat=_seconds(
            reader.number("heartbeatMs", default=1200) / 1000
        ),
        roll_outs=RollOutBounds(
            largest_share=reader.number("bounds.exposureShare", default=0.1),
            allowance_requests=int(
                reader.number("bounds.exposureAllowance", default=30)
            ),
            withdrawal_time=_seconds(
                reader.number("bounds.rollbackMs", default=5000) / 1000
            ),
        ),
        retries=RetryBounds(
            ratio=reader.number("bounds.retryRatio", default=0.1),
            window=_seconds(reader.number("bounds.retryWindowS", default=10)),
            allowance=int(reader.number("bounds.retryAllowance", default=0)),
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
    return load(text)


def _seconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=number)
