"""Settings of the daemon."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..config import Address

SECRET_BYTES: Final = 32
MAX_KEYS: Final = 2


class Role(enum.Enum):
    """What the daemon does."""

    BALANCER = "balancer"
    AGENT = "agent"


class LogLevel(enum.Enum):
    """Least important events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Key:
    """A key that messages between the system's processes are signed with.

    Attributes
    ----------
    id : int
        Number of the key, 0 to 255, the same in every process.
    secret : bytes
        32 bytes.
    """

    id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's object API is.

    Attributes
    ----------
    url : str
        URL without a path.
    ca_file : str or None
        Certificates to trust in place of the system's, in PEM form.
    """

    url: str
    ca_file: str | None = None


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Where metrics go.

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
    """Where a balancer takes datagrams of callers.

    Attributes
    ----------
    listen : Address
        Where it listens.
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
        Where it takes datagrams of callers.
    hints : int
        Most flow hints kept.
    """

    edge: EdgeSettings
    hints: int = 100_000


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    service : str
        Service of its backend server.
    slots : int
        Slots of its host.
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
        What the daemon does.
    name : str
        Name of the host or balancer.
    data_centre : str
        Data centre that it is in.
    address : Address
        Where it takes messages of the system's own processes.
    keys : tuple of Key
        The first signs; each is accepted.
    platform : PlatformSettings
        Where the platform is.
    peers : tuple of Address
        Processes asked for views and configuration while the platform is down.
    metrics : MetricsSettings or None
        Where metrics go, None for nowhere.
    log_level : LogLevel
        Least important events that are logged.
    status_address : Address or None
        Where ``/status`` and ``/burn`` are served, None for nowhere.
    balancer : BalancerSettings or None
        Given where the role is balancer.
    agent : AgentSettings or None
        Given where the role is agent.
    """

    role: Role
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
    "Role",
    "Settings",
]
