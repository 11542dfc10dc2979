"""Settings of a node: one YAML file, checked whole."""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=253)]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", max_length=21)
]
Ip = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]

MS_PER_S: Final = 1_000.0


class SettingsError(ValueError):
    """Settings that can't be used; the text names the field."""


class HostSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The host beside a gate.

    Attributes
    ----------
    service : str
        Its service.
    address : str
        Where it takes packets.
    packets : str
        Where it sends all its packets, UDP.
    heartbeats : str
        Where it sends its heartbeats, HTTP.
    heartbeat_ms : int
        Time between two of them, in milliseconds.
    """

    service: Name
    address: Address
    packets: Address
    heartbeats: Address
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=1)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a node.

    Attributes
    ----------
    name : str
        Name of the node, in its logs.
    role : str
        ``front`` or ``gate``.
    ip : str
        Address of the machine.
    data_centre : str
        Where it stands.
    node_port : int
        Port for the nodes' own messages, UDP and TCP, the same on all nodes.
    callers : str
        Where the routers send callers' packets to a front; packets to callers go to
        the same port at the caller's address.
    readiness : str
        Where the routers ask whether this node is ready, HTTP.
    store : str
        The platform's store.
    seeds : list of str
        Addresses of some fronts, asked while the store is away; they may be stale.
    metrics_port : int
        Where counters and histograms are served, HTTP.
    grace_s : float
        Longest time from the signal to stop to the end, in seconds.
    log_level : str
        ``flow`` logs a line for each decision on a flow, ``event`` only changes of
        what the process believes.
    host : HostSettings or None
        The host beside it; gates only.
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


_DECODER: Final = msgspec.json.Decoder(Settings)


def load_settings(path: str) -> Settings:
    """Read and check a file of settings.

    Raises
    ------
    SettingsError
        If the file can't be read or a field is wrong.
    """
    try:
        with open(path, "rb") as file:
            body = file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    return read_settings(body)


def read_settings(body: bytes) -> Settings:
    """Check settings; a file in YAML's flow style, as JSON has it, is read faster.

    Raises
    ------
    SettingsError
        If a field is wrong.
    """
    try:
        settings = _DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError):
        settings = _read_block_style(body)
    if (settings.role == "gate") != (settings.host is not None):
        raise SettingsError("host is needed for a gate and for no other role")
    return settings


def _read_block_style(body: bytes) -> Settings:
    # Imported late: the library weighs two megabytes that a node has no other use for.
    import yaml  # type: ignore[import-untyped]

    try:
        content = yaml.safe_load(body)
    except yaml.YAMLError as error:
        raise SettingsError(f"no YAML: {error}") from error
    try:
        return msgspec.convert(content, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


__all__ = [
    "HostSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "read_settings",
    "split_address",
]
