"""A complete deployment on one VM, with one process for each program."""

from __future__ import annotations

import json
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import yaml

from .addresses import find_free_address
from .processes import ROOT, STOP_TIMEOUT_S, Processes, build_environment

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

PLATFORM: Final = "platform"
FABRIC: Final = "fabric"
KEY_ID: Final = 1
KEY_HEX: Final = "5a" * 32
CONTROL_TIMEOUT_S: Final = 5.0
COMMAND_TIMEOUT_S: Final = 20.0


@dataclass(frozen=True, slots=True)
class HostPlan:
    """A host: an agent and its backend server.

    Attributes
    ----------
    name : str
        Name of the host.
    service : str
        Service that it provides.
    data_centre : str
        Its data centre.
    """

    name: str
    service: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Contents of a deployment.

    Attributes
    ----------
    services : mapping of str to sequence of str
        Name of each service, and the names that its backend servers serve.
    hosts : sequence of HostPlan
        All hosts.
    balancers : mapping of str to str
        Name of each initial balancer, and its data centre.
    slots : int
        Slots of each backend server.
    backend_options : sequence of str
        Additional arguments of each backend server.
    hints : int
        Maximum size of the balancers' hint tables.
    has_cuts : bool
        Whether links between daemons can be cut.
    """

    services: Mapping[str, Sequence[str]]
    hosts: Sequence[HostPlan]
    balancers: Mapping[str, str]
    slots: int = 2
    backend_options: Sequence[str] = ()
    hints: int = 100_000
    has_cuts: bool = False

    @property
    def data_centres(self) -> list[str]:
        """Names of all data centres."""
        return sorted({host.data_centre for host in self.hosts})

    def list_hosts_in(self, data_centre: str) -> frozenset[str]:
        """List the hosts in a data centre."""
        return frozenset(
            host.name for host in self.hosts if host.data_centre == data_centre
        )


@dataclass(slots=True)
class DaemonAddresses:
    """Addresses of a daemon, kept over its restarts.

    Attributes
    ----------
    address : str
        Address for messages between daemons.
    status : str
        Address of the status page.
    edge : str
        Edge address of a balancer.
    """

    address: str = field(default_factory=find_free_address)
    status: str = field(default_factory=find_free_address)
    edge: str = field(default_factory=find_free_address)


@dataclass(slots=True)
class BackendAddresses:
    """Addresses of a backend server, kept over its restarts."""

    listen: str = field(default_factory=find_free_address)
    control: str = field(default_factory=find_free_address)


class OperatorError(Exception):
    """The operators' command failed."""


class Fleet:
    """Starts, controls and ends the processes of a deployment.

    Parameters
    ----------
    directory : Path
        Folder for settings, output and records.
    plan : FleetPlan
        Contents of the deployment.
    seed : int
        Seed of the fabric's random choices.
    """

    def __init__(self, directory: Path, plan: FleetPlan, seed: int = 0) -> None:
        self.directory = directory
        self.plan = plan
        self.processes = Processes(directory)
        self.service_addresses = {name: find_free_address() for name in plan.services}
        self.platform_address = find_free_address()
        self.fabric_control = find_free_address()
        self.daemons: dict[str, DaemonAddresses] = {}
        self.backends: dict[str, BackendAddresses] = {}
        self._statsd = find_free_address()
        self._seed = seed

    @property
    def platform_url(self) -> str:
        """URL of the platform's object API."""
        return f"http://{self.platform_address}"

    def start_environment(self) -> None:
        """Start the platform and the fabric, and wait until both are ready."""
        listen = ["--listen", self.platform_address]
        self.processes.start(PLATFORM, ["-m", "standins.platform", *listen])
        arguments = ["--control", self.fabric_control, "--seed", str(self._seed)]
        for address in self.service_addresses.values():
            arguments += ["--service", address]
        self.processes.start(FABRIC, ["-m", "standins.fabric", *arguments])
        self.processes.wait_ready(PLATFORM)
        self.processes.wait_ready(FABRIC)

    def start_daemons(self) -> None:
        """Start all backend servers, agents and balancers, and wait for readiness."""
        for host in self.plan.hosts:
            self.start_backend(host)
            self.start_agent(host)
        for name, data_centre in self.plan.balancers.items():
            self.start_balancer(name, data_centre)
        for host in self.plan.hosts:
            self.processes.wait_ready(name_backend(host.name))
        for name in self.daemons:
            self.wait_daemon(name)
        for name in self.plan.balancers:
            self.connect_balancer(name)

    def start_backend(self, host: HostPlan) -> None:
        """Start the backend server of a host; a restart reuses its addresses."""
        addresses = self.backends.setdefault(host.name, BackendAddresses())
        arguments = ["--host", host.name, "--slots", str(self.plan.slots)]
        for served in self.plan.services[host.service]:
            arguments += ["--service", served]
        arguments += ["--listen", addresses.listen, "--control", addresses.control]
        arguments += ["--record", str(self.directory / f"{host.name}.backend.jsonl")]
        arguments += self.plan.backend_options
        name = name_backend(host.name)
        self.processes.start(name, ["-m", "standins.backend_server", *arguments])

    def start_agent(self, host: HostPlan) -> None:
        """Start the agent of a host; a restart reuses its addresses."""
        agent = {
            "service": host.service,
            "slots": self.plan.slots,
            "backend_server": self.backends[host.name].listen,
        }
        settings = self._build_settings(host.name, "agent", host.data_centre)
        self._start_daemon(host.name, {**settings, "agent": agent})

    def replace_agent(self, host: HostPlan) -> str:
        """Start a second agent of a host, which replaces the first one.

        Returns
        -------
        str
            Name of the new agent's process.
        """
        name = f"{host.name}.new"
        self.daemons[name] = DaemonAddresses()
        agent = {
            "service": host.service,
            "slots": self.plan.slots,
            "backend_server": self.backends[host.name].listen,
        }
        settings = self._build_settings(name, "agent", host.data_centre)
        self._start_daemon(name, {**settings, "name": host.name, "agent": agent})
        return name

    def start_balancer(self, name: str, data_centre: str) -> None:
        """Start a balancer without connecting it to the fabric."""
        settings = self._build_settings(name, "balancer", data_centre)
        edge = {"listen": self.daemons[name].edge, "proxy_protocol": True}
        balancer = {"edge": edge, "hints": self.plan.hints}
        self._start_daemon(name, {**settings, "balancer": balancer})

    def wait_daemon(self, name: str) -> None:
        """Wait until a daemon serves its status page."""
        url = f"http://{self.daemons[name].status}/status"
        self.processes.wait_http(name, url)

    def connect_balancer(self, name: str) -> None:
        """Make the fabric send datagrams to a balancer."""
        self.control_fabric("/balancers", {"add": [self.daemons[name].edge]})

    def disconnect_balancer(self, name: str) -> None:
        """Make the fabric stop sending datagrams to a balancer."""
        self.control_fabric("/balancers", {"remove": [self.daemons[name].edge]})

    def start_callers(self, name: str, arguments: Sequence[str]) -> None:
        """Start a process of callers and wait until it is ready."""
        record = ["--record", str(self.directory / f"{name}.caller.jsonl")]
        all_arguments = ["-m", "standins.caller", *arguments, *record]
        self.processes.start(name, all_arguments)
        self.processes.wait_ready(name)

    def cut(self, name: str, *, to: Sequence[str], from_: Sequence[str]) -> None:
        """Cut links of a daemon; links cut by an earlier call are restored.

        Parameters
        ----------
        name : str
            The daemon.
        to, from_ : sequence of str
            Daemons that it cannot send to, and those that it cannot receive from.
        """
        lines = [f"to {self.daemons[other].address}" for other in to]
        lines += [f"from {self.daemons[other].address}" for other in from_]
        path = self._build_cuts_path(name)
        written = path.with_suffix(".new")
        written.write_text("\n".join(lines))
        written.rename(path)

    def control_fabric(self, path: str, body: Mapping[str, Any]) -> None:
        """Send a request to the HTTP control of the fabric."""
        post_json(f"http://{self.fabric_control}{path}", body)

    def control_platform(self, body: Mapping[str, Any]) -> None:
        """Change the faults of the platform."""
        post_json(f"{self.platform_url}/faults", body)

    def control_backend(self, host: str, body: Mapping[str, Any]) -> None:
        """Change the faults of a backend server."""
        post_json(f"http://{self.backends[host].control}/faults", body)

    def write_configuration(self, profiles: Mapping[str, Mapping[str, Any]]) -> Path:
        """Write profiles, services and data centres to a file for the apply command.

        Parameters
        ----------
        profiles : mapping of str to mapping
            ``spec`` of each service's profile, by name of the service.

        Returns
        -------
        Path
            The YAML file.
        """
        documents = [_build_object("Profile", n, dict(p)) for n, p in profiles.items()]
        for name, address in self.service_addresses.items():
            spec = {"address": address, "profile": name, "protocol": "coap"}
            documents.append(_build_object("Service", name, spec))
        documents += [
            _build_object("DataCentre", name, {"state": "in"})
            for name in self.plan.data_centres
        ]
        path = self.directory / "configuration.yaml"
        path.write_text(yaml.safe_dump_all(documents))
        return path

    def run_command(self, *arguments: str) -> str:
        """Run the operators' command.

        Returns
        -------
        str
            Its standard output.

        Raises
        ------
        OperatorError
            If its exit status is not 0.
        """
        command = ["-m", "balsamstream.command.run", "--platform", self.platform_url]
        done = subprocess.run(
            [sys.executable, *command, *arguments],
            check=False,
            capture_output=True,
            text=True,
            env=build_environment(),
            cwd=ROOT,
            timeout=COMMAND_TIMEOUT_S,
        )
        if done.returncode:
            words = " ".join(arguments)
            raise OperatorError(f"{words}: exit {done.returncode}\n{done.stderr}")
        return done.stdout

    def stop_daemons(self, timeout_s: float = STOP_TIMEOUT_S) -> dict[str, int]:
        """Stop all running daemons, and wait up to `timeout_s` seconds in total.

        Returns
        -------
        dict of str to int
            Exit status of each daemon.
        """
        running = [
            name for name in self.daemons if self.processes.get(name).is_running()
        ]
        for name in running:
            self.processes.terminate(name)
        deadline = time.monotonic() + timeout_s
        statuses: dict[str, int] = {}
        for name in running:
            left_s = max(0.0, deadline - time.monotonic())
            statuses[name] = self.processes.wait_stopped(name, left_s)
        return statuses

    def list_backend_records(self) -> list[Path]:
        """List the files of events recorded by backend servers."""
        return sorted(self.directory.glob("*.backend.jsonl"))

    def list_caller_records(self) -> list[Path]:
        """List the files of events recorded by callers."""
        return sorted(self.directory.glob("*.caller.jsonl"))

    def close(self) -> None:
        """End all processes."""
        self.processes.close()

    def _build_settings(self, name: str, role: str, data_centre: str) -> dict[str, Any]:
        addresses = self.daemons.setdefault(name, DaemonAddresses())
        peers = [
            other.address for known, other in self.daemons.items() if known != name
        ]
        return {
            "role": role,
            "name": name,
            "data_centre": data_centre,
            "address": addresses.address,
            "keys": [{"id": KEY_ID, "secret": KEY_HEX}],
            "platform": {"url": self.platform_url, "ca_file": None},
            "peers": peers,
            "metrics": {"statsd": self._statsd, "prefix": "balsamstream"},
            "log": {"level": "info"},
            "status_address": addresses.status,
        }

    def _start_daemon(self, name: str, settings: Mapping[str, Any]) -> None:
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(dict(settings)))
        program = ["-m", "balsamstream.daemon.run"]
        if self.plan.has_cuts:
            program = ["-m", "standins.cut_daemon", str(self._build_cuts_path(name))]
        self.processes.start(name, [*program, "--settings", str(path)])

    def _build_cuts_path(self, name: str) -> Path:
        return self.directory / f"{name}.cuts"


def name_backend(host: str) -> str:
    """Return the name of the process of a host's backend server."""
    return f"{host}.backend"


def post_json(url: str, body: Mapping[str, Any]) -> None:
    """Send a JSON body to the HTTP control of a stand-in."""
    data = json.dumps(dict(body)).encode()
    request = urllib.request.Request(url, data, method="POST")
    with urllib.request.urlopen(request, timeout=CONTROL_TIMEOUT_S):
        return


def _build_object(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {
        "apiVersion": "balsamstream/v1",
        "kind": kind,
        "metadata": {"name": name},
        "spec": spec,
    }


__all__ = [
    "BackendAddresses",
    "DaemonAddresses",
    "Fleet",
    "FleetPlan",
    "HostPlan",
    "OperatorError",
    "name_backend",
    "post_json",
]
