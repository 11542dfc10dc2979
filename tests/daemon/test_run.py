"""Tests of the daemon as a process, without a platform."""

from __future__ import annotations

import json
import random
import signal
import socket
import time
import urllib.request
from contextlib import closing
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pytest
import yaml

from balsamstream.core.identity import parse_address
from standins.processes import Processes
from tests.daemon.sockets import WAIT_S, find_free_address

if TYPE_CHECKING:
    from pathlib import Path

    from balsamstream.core.identity import Address

ROLES = ("balancer", "agent")


@dataclass
class RunningDaemon:
    """A started daemon process and its addresses."""

    processes: Processes
    settings: Path
    address: Address
    edge: Address
    status: Address

    def read_page(self, path: str) -> dict[str, Any]:
        """Read a page of the daemon."""
        url = f"http://{self.status}{path}"
        with urllib.request.urlopen(url, timeout=WAIT_S) as response:
            return dict(json.load(response))

    def wait_for_line(self, text: str) -> None:
        """Wait until the daemon has logged a text."""
        deadline = time.monotonic() + WAIT_S
        while text not in self.processes.get("daemon").read_output():
            assert time.monotonic() < deadline, text
            time.sleep(0.02)


def write_settings(path: Path, role: str, **changed: object) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "role": role,
        "name": f"{role}-1",
        "data_centre": "medina",
        "address": str(find_free_address()),
        "keys": [{"id": 1, "secret": "5a" * 32}],
        "platform": {"url": f"http://{find_free_address()}"},
        "status_address": str(find_free_address()),
        "metrics": {"statsd": str(find_free_address()), "prefix": "test"},
        **changed,
    }
    if role == "balancer":
        settings[role] = {"edge": {"listen": str(find_free_address())}}
    else:
        backend_server = str(find_free_address())
        settings[role] = {
            "service": "comptoir",
            "slots": 2,
            "backend_server": backend_server,
        }
    path.write_text(yaml.safe_dump(settings))
    return settings


def start_daemon(processes: Processes, directory: Path, role: str) -> RunningDaemon:
    path = directory / "settings.yaml"
    settings = write_settings(path, role)
    arguments = ["-m", "balsamstream.daemon.run", "--settings", str(path)]
    processes.start("daemon", arguments)
    processes.wait_http("daemon", f"http://{settings['status_address']}/status")
    edge = settings[role].get("edge", {}).get("listen", settings["address"])
    return RunningDaemon(
        processes,
        path,
        parse_address(settings["address"]),
        parse_address(edge),
        parse_address(settings["status_address"]),
    )


@pytest.mark.parametrize("role", ROLES)
def test_daemon_serves_and_stops_without_a_platform(role: str, tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        running = start_daemon(processes, tmp_path, role)
        page = running.read_page("/status")
        assert (page["role"], page["name"]) == (role, f"{role}-1")
        assert page["data_centres_out"] == []
        assert running.read_page("/burn")["daemon"] == f"{role}-1"
        running.wait_for_line(f"level=info event=ready address={running.address}")
        processes.terminate("daemon")
        assert processes.wait_exit("daemon", 10.0) == 0
        running.wait_for_line("event=stopped")


@pytest.mark.parametrize("role", ROLES)
def test_random_datagrams_do_not_stop_the_daemon(role: str, tmp_path: Path) -> None:
    rng = random.Random(4)
    with closing(Processes(tmp_path)) as processes:
        running = start_daemon(processes, tmp_path, role)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for size in (0, 1, 28, 37, 100, 1500, 60_000, *range(2, 300)):
                for address in (running.address, running.edge):
                    sender.sendto(rng.randbytes(size), address)
        page = running.read_page("/status")
        lost = sum(n for name, n in page["counters"].items() if "lost" in name)
        assert lost > 0
        log = processes.get("daemon").read_output()
        assert "Traceback" not in log
        assert len(log.splitlines()) < 200
        assert processes.stop("daemon", 10.0) == 0


def test_settings_are_reloaded_on_sighup(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        running = start_daemon(processes, tmp_path, "agent")
        settings = yaml.safe_load(running.settings.read_text())
        keys = [{"id": 2, "secret": "6b" * 32}, *settings["keys"]]
        running.settings.write_text(yaml.safe_dump({**settings, "keys": keys}))
        pid = processes.get("daemon").process
        pid.send_signal(signal.SIGHUP)
        running.wait_for_line("event=settings_read")
        running.settings.write_text("role: nothing")
        pid.send_signal(signal.SIGHUP)
        running.wait_for_line("event=wrong_settings")
        assert running.read_page("/status")["role"] == "agent"


def test_second_signal_ends_the_graceful_stop(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        running = start_daemon(processes, tmp_path, "balancer")
        processes.terminate("daemon")
        running.wait_for_line("event=stop_begun")
        processes.terminate("daemon")
        assert processes.wait_exit("daemon", 10.0) == 0
        running.wait_for_line("event=stop_hurried")


@pytest.mark.parametrize("role", ROLES)
def test_daemon_drops_what_was_queued_during_a_pause(role: str, tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        running = start_daemon(processes, tmp_path, role)
        processes.pause("daemon")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(100):
                sender.sendto(b"queued", running.address)
        time.sleep(1.5)
        processes.resume("daemon")
        running.wait_for_line("event=process_paused")
        counters = running.read_page("/status")["counters"]
        assert counters["pauses"] == 1
        assert counters["lost.paused"] == 100
        assert "lost.seal_short" not in counters


def test_each_problem_of_the_settings_is_logged(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        path = tmp_path / "settings.yaml"
        write_settings(path, "balancer", data_centre="", unknown=1)
        arguments = ["-m", "balsamstream.daemon.run", "--settings", str(path)]
        child = processes.start("daemon", arguments)
        assert processes.wait_exit("daemon", 10.0) == 2
        lines = child.read_output().splitlines()
        assert all("event=wrong_settings" in line for line in lines)
        assert any("unknown" in line for line in lines)


def test_address_in_use_ends_the_daemon(tmp_path: Path) -> None:
    with closing(Processes(tmp_path)) as processes:
        path = tmp_path / "settings.yaml"
        settings = write_settings(path, "balancer")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(parse_address(settings["address"]))
            arguments = ["-m", "balsamstream.daemon.run", "--settings", str(path)]
            child = processes.start("daemon", arguments)
            assert processes.wait_exit("daemon", 10.0) == 1
        assert "event=start_failed" in child.read_output()
