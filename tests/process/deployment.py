"""A small deployment under load, and the comparison of its records."""

from __future__ import annotations

import json
import time
import urllib.request
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final

from demo.probe import wait_for_services
from standins.content import COMPTOIR, ETIQUETTES, FITTER, GUIDES
from standins.fleet import Fleet, FleetPlan, HostPlan
from standins.record import Changes, Figures, compare, read_record

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence
    from pathlib import Path

DATA_CENTRES: Final = ("medina", "sakiet", "thyna")
COUNTER: Final = "counter"
FITTING: Final = "fitting"
WARM_UP_S: Final = 3.0
BUSY_TIMEOUT_S: Final = 10.0
PROFILE: Final[dict[str, Any]] = {
    "deadline_ms": 2_000,
    "cold_start": {"initial_share": 0.1, "hold_s": 1.0, "ramp_s": 2.0},
    "retry_after_s": {"least": 0.5, "most": 1.0},
}
TIMING: Final = (
    "--ack-timeout-s=0.4",
    "--max-retransmit=4",
    "--separate-s=5",
    "--silence-s=4",
)
CALLERS: Final = ("--boards=12", "--baskets=8", "--sheets=2", "--fits=6")


class Deployment:
    """A running deployment with callers.

    Parameters
    ----------
    fleet : Fleet
        Processes of the deployment.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.hosts = {host.name: host for host in fleet.plan.hosts}
        self.changes = Changes()

    def start(
        self, profile: Mapping[str, Any], callers: Sequence[str] = CALLERS
    ) -> None:
        """Start everything; the callers start once both services answer."""
        fleet = self.fleet
        fleet.start_environment()
        profiles = dict.fromkeys(fleet.plan.services, profile)
        fleet.run_command("apply", str(fleet.write_configuration(profiles)))
        fleet.start_daemons()
        wait_for_services(fleet.service_addresses)
        counter = fleet.service_addresses[COUNTER]
        fitting = fleet.service_addresses[FITTING]
        addresses = [f"--comptoir={counter}", f"--etiquettes={counter}"]
        addresses += [f"--fitter={fitting}", f"--guides={fitting}"]
        fleet.start_callers("callers", [*addresses, *callers, *TIMING, "--seed=1"])
        time.sleep(WARM_UP_S)

    def read_status(self, name: str) -> dict[str, Any]:
        """Read a daemon's status page."""
        url = f"http://{self.fleet.daemons[name].status}/status"
        with urllib.request.urlopen(url, timeout=2.0) as answer:
            status: dict[str, Any] = json.load(answer)
        return status

    def pause_while_busy(self, host: str) -> None:
        """Suspend an agent while its host has requests in flight."""
        until = time.monotonic() + BUSY_TIMEOUT_S
        while self.read_status(host)["in_flight"] == 0:
            assert time.monotonic() < until, f"{host} got no requests"
        self.fleet.processes.pause(host)

    def stop_and_compare(self) -> Figures:
        """Stop the callers and compare all records."""
        self.fleet.processes.terminate("callers")
        assert self.fleet.processes.wait_exit("callers", 15.0) == 0
        record = read_record(
            self.fleet.list_caller_records(), self.fleet.list_backend_records()
        )
        return compare(record, self.changes)


@contextmanager
def open_deployment(
    directory: Path,
    *,
    profile: Mapping[str, Any] | None = None,
    backend_options: Sequence[str] = ("--cold-s=1",),
    callers: Sequence[str] = CALLERS,
    has_cuts: bool = False,
) -> Iterator[Deployment]:
    """Run two services, with three and two hosts, behind three balancers."""
    hosts = [
        HostPlan(f"counter-{number}", COUNTER, DATA_CENTRES[number])
        for number in range(3)
    ]
    hosts += [
        HostPlan(f"fitting-{number}", FITTING, DATA_CENTRES[number])
        for number in range(2)
    ]
    plan = FleetPlan(
        services={COUNTER: (COMPTOIR, ETIQUETTES), FITTING: (FITTER, GUIDES)},
        hosts=hosts,
        balancers={f"balancer-{number}": DATA_CENTRES[number] for number in range(3)},
        backend_options=backend_options,
        has_cuts=has_cuts,
    )
    fleet = Fleet(directory, plan, seed=1)
    deployment = Deployment(fleet)
    try:
        deployment.start({**PROFILE, **(profile or {})}, callers)
        yield deployment
    finally:
        fleet.close()


def check_invariants(figures: Figures) -> None:
    """Check what must hold under every failure."""
    assert figures.requests > 0
    assert figures.answered > 0
    assert figures.doubled == 0
    assert figures.crossed == 0
    assert figures.wrong_service == 0


__all__ = ["COUNTER", "FITTING", "Deployment", "check_invariants", "open_deployment"]
