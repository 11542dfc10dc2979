"""Settings of the daemon."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..config import Address

SECRET_BYTES: Final = 32
MAX_KEYS: Final = 2


class RoleName(enum.Enum):
    """Name of the role that the daemon runs."""

    BALANCER = "balancer"
    AGENT = "agent"


class LogLevel(enum.Enum):
    """Minimum level of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Key:
    """Shared key that authenticates messages between processes of the system.

    Attributes
    ----------
    id : int
        Number of the key, 0 to 255, the same in all processes.
    secret : bytes
        32 bytes.
    """

    id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Location of the platform's object API.

    Attributes
    ----------
    url : str
        URL without a path.
    ca_file : str or None
        PEM file with the certificates to trust instead of the system's, or None.
    """

    url: str
    ca_file: str | None = None


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Destination and naming of metrics.

    Attributes
    ----------
    statsd : Address
        Address of the statsd server.
    prefix : str
        First part of every metric's name.
    """

    statsd: Address
    prefix: str = "balsamstream"


@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Settings of a balancer's socket towards callers.

    Attributes
    ----------
    listen : Address
        Address on which it receives datagrams.
    proxy_protocol : bool
        Whether each datagram begins with a PROXY protocol header.
    """

    listen: Address
    proxy_protocol: bool = True


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of a balancer.

    Attributes
    ----------
    edge : EdgeSettings
        Socket towards callers.
    hints : int
        Maximum number of flow hints.
    """

    edge: EdgeSettings
    hints: int = 100_000


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    service : str
        Name of the service of its backend server.
    slots : int
        Number of slots of its host.
    backend_server : Address
        Address of the backend server.
    """

    service: str
    slots: int
    backend_server: Address


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the daemon.

    Attributes
    ----------
    role : Role
        Name of the role that the daemon runs.
    name : str
        Name of the host or balancer.
    data_centre : str
        Name of its data centre.
    address : Address
        Address for messages between processes of the system.
    keys : tuple of Key
        The first one authenticates sent messages; all are accepted on receipt.
    platform : PlatformSettings
        Location of the platform.
    peers : tuple of Address
        Processes that serve views and configuration while the platform is down.
    metrics : MetricsSettings or None
        Destination of metrics, or None if they are not sent.
    log_level : LogLevel
        Minimum level of logged events.
    status_address : Address or None
        Address of the pages ``/status`` and ``/burn``, or None if not served.
    balancer : BalancerSettings or None
        Settings of the balancer, or None if the role is agent.
    agent : AgentSettings or None
        Settings of the agent, or None if the role is balancer.
    """

    role: RoleName
    name: str
    data_centre: str
    address: Address
    keys: tuple[Key, ...]
    platform: PlatformSettings
    peers: tuple[Address, ...] = ()
    metrics: MetricsSettings | None = None
    log_level: LogLevel = LogLevel.INFO
    status_address: Address | None = None
    balancer: BalancerSettings | None = None
    agent: AgentSettings | None = None


__all__ = [
    "AgentSettings",
    "BalancerSettings",
    "EdgeSettings",
    "Key",
    "LogLevel",
    "MetricsSettings",
    "PlatformSettings",
    "RoleName",
    "Settings",
]
