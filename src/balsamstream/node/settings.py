"""Settings of a node: schema and loading of its YAML file."""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec

from balsamstream.flows.load_policy import LoadPolicy

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=253)]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", max_length=21)
]
Ip = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]

MS_PER_S: Final = 1_000.0


class SettingsError(ValueError):
    """The settings are invalid; the text names the field."""


class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The host beside a gate.

    Attributes
    ----------
    service : str
        Service of the host.
    address : str
        ``IP:PORT`` on which the host receives packets, UDP.
    packets : str
        ``IP:PORT`` to which the host sends all its packets, UDP.
    heartbeats : str
        ``IP:PORT`` to which the host sends its heartbeats, HTTP.
    heartbeat_ms : int
        Time between two heartbeats, in milliseconds.
    """

    service: Name
    address: Address
    packets: Address
    heartbeats: Address
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=1)]


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a node decides under load; the defaults are those of earlier releases.

    Attributes
    ----------
    admission : str
        ``fixed`` lets an opening packet wait for a fixed time at most, the most urgent
        priority first; ``deadline`` for as long as its route's deadline allows, with
        fair shares between routes and callers.
    placement : str
        ``queue`` chooses a host by its requests in flight; ``delay`` by the time that
        a request would take there.
    outliers : bool
        Whether hosts whose answers differ from those of their peers get fewer flows.
    """

    admission: Literal["fixed", "deadline"] = "fixed"
    placement: Literal["queue", "delay"] = "queue"
    outliers: bool = False

    def build_policy(self) -> LoadPolicy:
        """Return the settings as the decisions read them."""
        return LoadPolicy(
            by_deadline=self.admission == "deadline",
            by_delay=self.placement == "delay",
            detects_outliers=self.outliers,
        )


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a node.

    Attributes
    ----------
    name : str
        Name of the node, in its logs.
    role : str
        ``front`` or ``gate``.
    ip : str
        IP address of the VM.
    data_centre : str
        Data centre of the VM.
    node_port : int
        Port for messages between nodes, UDP and TCP, the same on all nodes.
    callers : str
        ``IP:PORT`` to which routers send callers' packets to a front; packets to
        callers are sent to the same port at the caller's address.
    readiness : str
        ``IP:PORT`` on which routers check whether this node is ready, HTTP.
    store : str
        ``IP:PORT`` of the platform's store.
    seeds : list of str
        ``IP:PORT`` of some fronts to contact when the store is unavailable; they may
        be stale.
    metrics_port : int
        Port on which the metrics are served, HTTP.
    grace_s : float
        Maximum time from the stop signal to the exit, in seconds.
    log_level : str
        ``flow`` logs the events of single flows, too; ``event`` only the others.
    host : HostSettings or None
        The host beside a gate; None for a front.
    load : LoadSettings
        Decisions under load, set alike on all nodes.
    """

    name: Name
    role: Literal["front", "gate"]
    ip: Ip
    data_centre: Name
    node_port: Port
    callers: Address
    readiness: Address
    store: Address
    metrics_port: Port
    seeds: list[Address] = []
    grace_s: Annotated[float, msgspec.Meta(gt=0)] = 6.0
    log_level: Literal["flow", "event"] = "flow"
    host: HostSettings | None = None
    load: LoadSettings = LoadSettings()


_DECODER: Final = msgspec.json.Decoder(Settings)


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is invalid.
    """
    try:
        with open(path, "rb") as file:
            body = file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return read_settings(body)


def read_settings(body: bytes) -> Settings:
    """Decode and check settings in YAML; the JSON subset is decoded faster.

    Raises
    ------
    SettingsError
        If the content is not YAML or a field is invalid.
    """
    try:
        settings = _DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError):
        settings = _read_block_style(body)
    if (settings.role == "gate") != (settings.host is not None):
        raise SettingsError("host is required for a gate and not allowed for a front")
    return settings


def _read_block_style(body: bytes) -> Settings:
    # Imported late: the library costs two megabytes and is not needed for JSON.
    import yaml  # type: ignore[import-untyped]

    try:
        content = yaml.safe_load(body)
    except yaml.YAMLError as error:
        raise SettingsError(f"invalid YAML: {error}") from error
    try:
        return msgspec.convert(content, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into IP address and port."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


__all__ = [
    "HostSettings",
    "LoadSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "read_settings",
    "split_address",
]
