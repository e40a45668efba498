"""The platform's list of instances, as this system needs it."""

import abc
import enum

import msgspec


class InstanceRole(enum.Enum):
    """What runs on a listed instance."""

    ENTRY = "entry"
    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class InstanceState(enum.Enum):
    """An instance's state in the platform, which learns of deaths late."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the list.

    Attributes:
        address: `ip:port` of its HTTP listener.
        inner_address: `ip:port` of the inner protocol; empty unless ENTRY.
        region: For example `hu-central`.
        data_centre: For example `hu-central-1`.
        service: The plain service's name; for an engine, the pool's name.
    """

    address: str
    role: InstanceRole
    state: InstanceState
    region: str
    data_centre: str
    service: str = ""
    inner_address: str = ""


class InstanceList(abc.ABC):
    """Live and leaving instances, some seconds out of date."""

    @abc.abstractmethod
    async def list_instances(self) -> list[ListedInstance]:
        """Returns all instances; may raise `failures.NotDoneError`."""
