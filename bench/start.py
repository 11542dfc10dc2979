"""Cost of starting a node: processor time until it is ready, and memory then."""

from __future__ import annotations

import asyncio
import os
import statistics
import subprocess
import sys
import sysconfig
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from balsamstream.platform.interface import SETTINGS_VARIABLE
from standins.flow_site import VM, FlowSite

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT: Final = Path(__file__).parent.parent
NETWORK: Final = 77
STARTS: Final = 7
POLL_S: Final = 0.005
READY_S: Final = 20.0
MAX_CPU_S: Final = 0.35
"""Most processor time of a start: a front on a quarter of a core is back in 1.5 s."""
MAX_MB: Final = 24.0
"""Most resident memory of a node; users pay for memory where they run it."""
KB_PER_MB: Final = 1_024


class StartSite(FlowSite):
    """A site that starts nodes as the platform does: no site module, no arguments."""

    child: subprocess.Popen[bytes] | None = None

    def start_node(self, vm: VM) -> None:
        """Start the node of a machine."""
        search = os.pathsep.join([str(ROOT / "src"), sysconfig.get_path("purelib")])
        environment = {
            "PYTHONPATH": search,
            SETTINGS_VARIABLE: str(vm.settings),
        }
        self.child = subprocess.Popen(
            [sys.executable, "-S", "-m", "balsamstream.node.run"],
            env=environment,
            stdout=subprocess.DEVNULL,
        )


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    raise ValueError(f"process {pid} has no resident memory")


async def measure_start(role: str) -> tuple[float, float]:
    """Start a node once; return processor seconds and MB when it is ready."""
    with tempfile.TemporaryDirectory() as directory:
        site = StartSite(Path(directory), NETWORK)
        await site.start()
        try:
            add = site.add_front if role == "front" else site.add_gate
            vm = await add()
            child = site.child
            assert child is not None
            async with asyncio.timeout(READY_S):
                while not await site.is_ready(vm):
                    await asyncio.sleep(POLL_S)
            return read_cpu_s(child.pid), read_resident_mb(child.pid)
        finally:
            if site.child is not None:
                site.child.terminate()
                site.child.wait()
            await site.close()


def measure(_seed: int) -> Iterator[dict[str, Any]]:
    """Measure starts of each role."""
    for role in ("front", "gate"):
        starts = [asyncio.run(measure_start(role)) for _ in range(STARTS)]
        cpu_s = statistics.median(cpu for cpu, _ in starts)
        memory_mb = statistics.median(memory for _, memory in starts)
        yield {
            "case": f"start {role}",
            "starts": STARTS,
            "cpu_s": round(cpu_s, 3),
            "most_cpu_s": MAX_CPU_S,
            "resident_mb": round(memory_mb, 1),
            "most_mb": MAX_MB,
        }


__all__ = ["measure"]
