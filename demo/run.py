"""Run the whole path, apply changes under load, and compare all records.

``python -m demo.run``
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from contextlib import closing
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from cyclopts import App, Parameter
from rich.console import Console

from standins.events import read_clock
from standins.fleet import Fleet, OperatorError, name_backend
from standins.processes import ProcessError
from standins.record import Changes, Drain, Evacuation, Window, compare, read_record

from . import plan as demo_plan
from .probe import wait_for_services
from .table import build_line, build_table, passes

if TYPE_CHECKING:
    from collections.abc import Mapping
    from types import FrameType

    from standins.record import Figures

app = App(name="demo", help=__doc__)


class Demo:
    """Runs the steps of the demo in order.

    After `run`, `statuses` has the exit status of each daemon.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    console : Console
        Console that shows the progress.
    """

    def __init__(self, fleet: Fleet, console: Console) -> None:
        self.statuses: dict[str, int] = {}
        self._fleet = fleet
        self._console = console
        self._started_at = time.monotonic()
        self._hosts = {host.name: host for host in fleet.plan.hosts}

    def run(self) -> Figures:
        """Run all steps and compare the records."""
        self._start()
        steady = self._keep_steady()
        self._change_balancers()
        drain = self._drain_host()
        self._restart_backend()
        evacuation = self._remove_data_centre()
        self._stop_callers()
        self._stop_daemons()
        record = read_record(
            self._fleet.list_caller_records(), self._fleet.list_backend_records()
        )
        return compare(record, Changes((evacuation,), (drain,), steady))

    def _start(self) -> None:
        fleet = self._fleet
        self._print_step("starting platform and fabric")
        fleet.start_environment()
        self._print_step(f"starting {len(self._hosts)} hosts and 3 balancers")
        fleet.start_daemons()
        self._print_step("applying the configuration")
        self._apply(demo_plan.PROFILE)
        wait_for_services(fleet.service_addresses)
        self._print_step("starting callers of both deployments")
        self._start_callers()
        time.sleep(demo_plan.WARM_UP_S)

    def _start_callers(self) -> None:
        addresses = self._fleet.service_addresses
        counter = addresses[demo_plan.COUNTER]
        fitting = addresses[demo_plan.FITTING]
        regie = [f"--comptoir={counter}", f"--etiquettes={counter}"]
        association = [f"--fitter={fitting}", f"--guides={fitting}"]
        self._fleet.start_callers("regie", [*regie, *demo_plan.REGIE_OPTIONS])
        self._fleet.start_callers(
            "association", [*association, *demo_plan.ASSOCIATION_OPTIONS]
        )

    def _keep_steady(self) -> Window:
        self._print_step("steady load")
        start = read_clock()
        time.sleep(demo_plan.STEADY_S)
        return Window(start, read_clock())

    def _change_balancers(self) -> None:
        fleet = self._fleet
        killed, added = demo_plan.KILLED_BALANCER, demo_plan.ADDED_BALANCER
        self._print_step(f"killing {killed}, adding {added}")
        fleet.processes.kill(killed)
        time.sleep(demo_plan.FABRIC_DETECTS_S)
        fleet.disconnect_balancer(killed)
        fleet.start_balancer(added, demo_plan.DATA_CENTRES[0])
        fleet.wait_daemon(added)
        fleet.connect_balancer(added)
        time.sleep(demo_plan.BALANCERS_S)

    def _drain_host(self) -> Drain:
        host = demo_plan.DRAINED_HOST
        self._print_step(f"draining {host}")
        ordered_at = read_clock()
        self._fleet.run_command("host", "drain", host)
        time.sleep(demo_plan.DRAIN_S)
        return Drain(host, ordered_at)

    def _restart_backend(self) -> None:
        host = demo_plan.RESTARTED_HOST
        self._print_step(f"restarting the backend server of {host} without notice")
        self._fleet.processes.kill(name_backend(host))
        self._fleet.start_backend(self._hosts[host])
        time.sleep(demo_plan.RESTART_S)

    def _remove_data_centre(self) -> Evacuation:
        name = demo_plan.REMOVED_DATA_CENTRE
        self._print_step(f"taking {name} out")
        start = read_clock()
        self._fleet.run_command("datacentre", "out", name)
        time.sleep(demo_plan.OUT_S)
        self._print_step(f"taking {name} back in")
        window = Window(start, read_clock())
        self._fleet.run_command("datacentre", "in", name)
        time.sleep(demo_plan.BACK_S)
        return Evacuation(name, self._fleet.plan.list_hosts_in(name), window)

    def _stop_callers(self) -> None:
        self._print_step("stopping callers")
        for name in ("regie", "association"):
            self._fleet.processes.terminate(name)
        for name in ("regie", "association"):
            status = self._fleet.processes.wait_exit(name)
            if status:
                raise ProcessError(f"callers {name} exited with status {status}")

    def _stop_daemons(self) -> None:
        # Callers do not close their flows, so the agents would wait for them to end.
        self._print_step("shortening the drain and stopping daemons")
        self._apply(demo_plan.LAST_PROFILE)
        self.statuses = self._fleet.stop_daemons()

    def _apply(self, profile: Mapping[str, Any]) -> None:
        profiles = dict.fromkeys(self._fleet.plan.services, profile)
        path = self._fleet.write_configuration(profiles)
        self._fleet.run_command("apply", str(path))

    def _print_step(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_at
        self._console.print(f"{elapsed_s:5.1f} s  {text}", highlight=False)


@app.default
def main(
    *,
    directory: Path | None = None,
    seed: Annotated[int, Parameter(negative="")] = 0,
) -> None:
    """Run the demo, which takes less than a minute.

    Parameters
    ----------
    directory : Path
        Directory that keeps settings, outputs and records; without it they are removed.
    seed : int
        Seed of the fabric's random choices.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        if any(directory.iterdir()):
            sys.exit(f"{directory} is not empty: it would mix the records of two runs")
        sys.exit(_run_in(directory, seed))
    with tempfile.TemporaryDirectory(prefix="balsamstream-demo-") as temporary:
        sys.exit(_run_in(Path(temporary), seed))


def _exit_on_signal(number: int, _frame: FrameType | None) -> None:
    sys.exit(128 + number)


def _run_in(directory: Path, seed: int) -> int:
    console = Console()
    with closing(Fleet(directory, demo_plan.build_plan(), seed)) as fleet:
        try:
            demo = Demo(fleet, console)
            figures = demo.run()
        except (OperatorError, ProcessError) as error:
            console.print(f"failed: {error}", highlight=False, markup=False)
            return 1
    console.print(build_table(figures, demo.statuses))
    print(build_line(figures), flush=True)
    return 0 if passes(figures) else 1


if __name__ == "__main__":
    app()

__all__ = ["Demo"]
