"""Pydantic models that validate the daemon's settings file."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Final
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field, ValidationInfo, model_validator

from ..config.schema import AddressField, Count, Model, Name
from .settings import (
    MAX_KEYS,
    SECRET_BYTES,
    AgentSettings,
    BalancerSettings,
    EdgeSettings,
    Key,
    LogLevel,
    MetricsSettings,
    PlatformSettings,
    RoleName,
    Settings,
)

if TYPE_CHECKING:
    from ..config.address import Address

MAX_KEY_ID: Final = 255
MAX_HINTS: Final = 10_000_000
METRIC_PREFIX_PATTERN: Final = r"^[A-Za-z0-9_.-]{1,100}$"


def _check_url(url: str) -> str:
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("the URL must have the form http://ADDRESS or https://ADDRESS")
    if parts.path not in ("", "/") or parts.query or parts.fragment:
        raise ValueError("the URL must not have a path, query or fragment")
    return url


def _find_file(name: str, info: ValidationInfo) -> str:
    context = info.context or {}
    return str(Path(context.get("file", "")).parent / name)


Url = Annotated[str, AfterValidator(_check_url)]
FileName = Annotated[str, Field(min_length=1), AfterValidator(_find_file)]


class KeyModel(Model):
    """Model of ``Key``, with the secret in the settings or in a file of its own."""

    id: Annotated[int, Field(strict=True, ge=0, le=MAX_KEY_ID)]
    secret: Annotated[str | None, Field(repr=False)] = None
    secret_file: FileName | None = None

    @model_validator(mode="after")
    def _check_secret(self) -> KeyModel:
        if (self.secret is None) == (self.secret_file is None):
            raise ValueError("either secret or secret_file is required, but not both")
        self.read_secret()
        return self

    def read_secret(self) -> bytes:
        """Read the secret.

        Raises
        ------
        ValueError
            If it cannot be read or is not 32 bytes in hexadecimal form.
        """
        text = self.secret or ""
        if self.secret_file is not None:
            try:
                text = Path(self.secret_file).read_text(encoding="ascii")
            except OSError as error:
                reason = error.strerror or "cannot be read"
                raise ValueError(f"secret_file {self.secret_file}: {reason}") from error
        try:
            secret = bytes.fromhex(text.strip())
        except ValueError:
            secret = b""
        if len(secret) != SECRET_BYTES:
            # The error must not contain the text: it may be most of a valid secret.
            raise ValueError(
                f"the secret must be {SECRET_BYTES} bytes in hexadecimal form"
            )
        return secret

    def convert(self) -> Key:
        """Build the data class."""
        return Key(self.id, self.read_secret())


class PlatformModel(Model):
    """Model of ``PlatformSettings``."""

    url: Url
    ca_file: FileName | None = None

    @model_validator(mode="after")
    def _check_scheme(self) -> PlatformModel:
        if self.ca_file is not None and not self.url.startswith("https:"):
            raise ValueError("ca_file requires an https URL")
        return self

    def convert(self) -> PlatformSettings:
        """Build the data class."""
        return PlatformSettings(self.url, self.ca_file)


class MetricsModel(Model):
    """Model of ``MetricsSettings``."""

    statsd: AddressField
    prefix: Annotated[str, Field(pattern=METRIC_PREFIX_PATTERN)] = "balsamstream"

    def convert(self) -> MetricsSettings:
        """Build the data class."""
        return MetricsSettings(self.statsd, self.prefix)


class LogModel(Model):
    """Model of the section ``log``."""

    level: LogLevel = LogLevel.INFO


class EdgeModel(Model):
    """Model of ``EdgeSettings``."""

    listen: AddressField
    proxy_protocol: Annotated[bool, Field(strict=True)] = True

    def convert(self) -> EdgeSettings:
        """Build the data class."""
        return EdgeSettings(self.listen, self.proxy_protocol)


class BalancerModel(Model):
    """Model of ``BalancerSettings``."""

    edge: EdgeModel
    hints: Annotated[int, Field(strict=True, ge=1, le=MAX_HINTS)] = 100_000

    def convert(self) -> BalancerSettings:
        """Build the data class."""
        return BalancerSettings(self.edge.convert(), self.hints)


class AgentModel(Model):
    """Model of ``AgentSettings``."""

    service: Name
    slots: Count
    backend_server: AddressField

    def convert(self) -> AgentSettings:
        """Build the data class."""
        return AgentSettings(self.service, self.slots, self.backend_server)


class SettingsModel(Model):
    """Model of ``Settings``."""

    role: RoleName
    name: Name
    data_centre: Name
    address: AddressField
    keys: Annotated[list[KeyModel], Field(min_length=1, max_length=MAX_KEYS)]
    platform: PlatformModel
    peers: list[AddressField] = Field(default_factory=list)
    metrics: MetricsModel | None = None
    log: LogModel = Field(default_factory=LogModel)
    status_address: AddressField | None = None
    balancer: BalancerModel | None = None
    agent: AgentModel | None = None

    @model_validator(mode="after")
    def _check_role(self) -> SettingsModel:
        sections = {RoleName.BALANCER: self.balancer, RoleName.AGENT: self.agent}
        for role, section in sections.items():
            if role is self.role and section is None:
                raise ValueError(f"role {role.value} requires a section {role.value}")
            if role is not self.role and section is not None:
                raise ValueError(
                    f"role {self.role.value} does not allow a section {role.value}"
                )
        return self

    @model_validator(mode="after")
    def _check_keys(self) -> SettingsModel:
        ids = [key.id for key in self.keys]
        if len(set(ids)) != len(ids):
            raise ValueError(f"keys: id {ids[0]} is used twice")
        return self

    @model_validator(mode="after")
    def _check_addresses(self) -> SettingsModel:
        users: dict[Address, str] = {}
        for field, address in self._list_addresses():
            if address in users:
                raise ValueError(f"{field} and {users[address]} are both {address}")
            users[address] = field
        return self

    def _list_addresses(self) -> list[tuple[str, Address]]:
        found = [("address", self.address)]
        if self.status_address is not None:
            found.append(("status_address", self.status_address))
        if self.balancer is not None:
            found.append(("balancer.edge.listen", self.balancer.edge.listen))
        if self.agent is not None:
            found.append(("agent.backend_server", self.agent.backend_server))
        return found

    def convert(self) -> Settings:
        """Build the data class."""
        return Settings(
            role=self.role,
            name=self.name,
            data_centre=self.data_centre,
            address=self.address,
            keys=tuple(key.convert() for key in self.keys),
            platform=self.platform.convert(),
            peers=tuple(self.peers),
            metrics=self.metrics.convert() if self.metrics else None,
            log_level=self.log.level,
            status_address=self.status_address,
            balancer=self.balancer.convert() if self.balancer else None,
            agent=self.agent.convert() if self.agent else None,
        )


__all__ = ["SettingsModel"]
