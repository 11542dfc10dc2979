"""Seeded days of overlapping faults against the nodes, judged by rule FLOW.

Run seeds by hand: ``python -m tests.flows.flow_faults --seeds 50``.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from balsamstream.flows.heartbeat import HostState
from balsamstream.flows.load_policy import DEFAULT_POLICY, LoadPolicy
from standins.flow_host import ACK, Packet
from tests.flows.deployment import ROUTE, to_number
from tests.flows.flow_callers import Caller, Routers
from tests.flows.flow_world import BEAT_S, FlowWorld, WorldFront, WorldGate

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from balsamstream.flows.gate import Gate
    from tests.flows.flow_oracle import Finding

DATA_CENTRES = ("medina", "sakiet", "thyna")
LAYOUTS = ((16, 4, 5), (12, 12, 11), (6, 6, 6))
START_S = 4.0
DAY_S = 60.0
CALLERS = 90
GRACE_S = 1.7
STOP_S = 0.3
ALL_POLICIES = LoadPolicy(by_deadline=True, by_delay=True, detects_outliers=True)


@dataclass(frozen=True)
class Day:
    """What one seed plays.

    Attributes
    ----------
    seed : int
        Seed of all that is drawn.
    faults : tuple of str
        Kinds of faults, names of methods of `Faults`.
    loss : float
        Share of the messages between nodes that are lost.
    gap_s : float
        Mean time between two faults, in seconds.
    layout : tuple of int
        Gates in each data centre.
    fronts : int
        Fronts in each data centre.
    idle_s : tuple of float
        Time between two requests of a flow, from and to, in seconds.
    policy : LoadPolicy
        Decisions under load that are switched on.
    """

    seed: int
    faults: tuple[str, ...]
    loss: float
    gap_s: float
    layout: tuple[int, ...]
    fronts: int
    idle_s: tuple[float, float]
    policy: LoadPolicy


class Faults:
    """Faults and planned work on the nodes of a world.

    Parameters
    ----------
    world : FlowWorld
        Nodes and clock.
    """

    def __init__(self, world: FlowWorld) -> None:
        self._world = world
        self._random = world.random
        self._oracle = world.oracle

    def _draw_gate(self) -> WorldGate:
        return self._random.choice(list(self._world.gates.values()))

    def _draw_front(self) -> WorldFront:
        return self._random.choice(list(self._world.fronts.values()))

    # Hosts.

    def flap_host(self) -> None:
        """Let a host crash and start again, once or some times in series."""
        self._flap(self._draw_gate(), self._random.choice((1, 1, 2, 3)))

    def _flap(self, gate: WorldGate, times: int) -> None:
        if gate.server is None:
            return
        down_s = self._random.choice((0.3, 1.0, 2.5, 5.0)) * self._random.uniform(
            0.7, 1
        )
        self._crash(gate)
        self._world.after(down_s, self._start_host, gate)
        if times > 1:
            again_s = down_s + self._random.uniform(0.5, 3.0)
            self._world.after(again_s, self._flap, gate, times - 1)

    def _crash(self, gate: WorldGate) -> None:
        gate.server = None
        self._oracle.disturb(gate.ip)
        self._oracle.record_fault(f"host {gate.ip} crashes")

    def _start_host(self, gate: WorldGate) -> None:
        if gate.server is not None:
            return
        self._world.start_host(gate, self._random.uniform(0.0, BEAT_S))
        self._oracle.disturb(gate.ip)
        self._oracle.record_fault(f"host {gate.ip} starts")

    def release_host(self) -> None:
        """Let a host drain, leave and start again, as planned."""
        gate = self._draw_gate()
        if gate.server is None:
            return
        gate.server.state = HostState.DRAINING
        self._oracle.record_fault(f"host {gate.ip} drains")
        self._world.after(
            self._random.uniform(1.0, 3.0), self._leave, gate, gate.server
        )

    def _leave(self, gate: WorldGate, server: object) -> None:
        if gate.server is not server:
            return
        self._crash(gate)
        self._world.leave_host(gate)
        self._world.after(self._random.uniform(0.3, 5.0), self._start_host, gate)

    # Gates.

    def roll_gate(self) -> None:
        """Stop some gates and start them again, as planned, while their hosts run."""
        for number in range(self._random.choice((1, 1, 2, 6))):
            self._world.after(1.2 * number, self._stop_gate, self._draw_gate())

    def _stop_gate(self, gate: WorldGate) -> None:
        if not gate.is_up:
            return
        now = self._world.now
        gate.gate.leave(now, refused_at=None if gate.is_host_running() else now)
        self._oracle.record_fault(f"gate {gate.ip} stops as planned")
        self._world.after(STOP_S, self._end_gate, gate, self._random.uniform(0.2, 2.5))

    def _end_gate(self, gate: WorldGate, down_s: float) -> None:
        if gate.is_up:
            gate.is_up = False
            self._world.after(down_s, self._start_gate, gate)

    def _start_gate(self, gate: WorldGate) -> None:
        if gate.is_up:
            return
        self._world.start_gate(gate)
        self._oracle.record_fault(f"gate {gate.ip} starts")

    def kill_gate(self) -> None:
        """Kill a gate while its host runs; it starts again."""
        self._kill(self._draw_gate())

    def _kill(self, gate: WorldGate) -> None:
        if not gate.is_up:
            return
        down_s = self._random.uniform(0.3, 4.0)
        self._oracle.disturb(gate.ip, until=self._world.now + down_s)
        self._oracle.record_fault(f"gate {gate.ip} is killed")
        self._end_gate(gate, down_s)

    def kill_gate_at_host_start(self) -> None:
        """Restart a host, and kill its gate some times before it is heard."""
        gate = self._draw_gate()
        if gate.server is None:
            return
        gate.late_until = self._world.now + self._random.uniform(1.0, 5.0)
        self._flap(gate, 1)
        self._kill_in_series(gate, self._random.choice((1, 2, 3)))

    def _kill_in_series(self, gate: WorldGate, times: int) -> None:
        delay = self._random.uniform(0.2, 2.0)
        self._world.after(delay, self._kill, gate)
        if times > 1:
            self._world.after(delay, self._kill_in_series, gate, times - 1)

    def delay_heartbeats(self) -> None:
        """Let all messages of some hosts to their gates come late, or never."""
        until = self._world.now + self._random.uniform(2.0, 8.0)
        for _ in range(self._random.choice((1, 3, 8))):
            gate = self._draw_gate()
            gate.late_until = until
            self._oracle.record_fault(f"host {gate.ip} is heard late")

    # The store.

    def silence_store(self) -> None:
        """Let the store answer nothing; gates join and are killed meanwhile."""
        world = self._world
        outage_s = self._random.uniform(1.0, 5.0)
        world.store_back_at = max(world.store_back_at, world.now + outage_s)
        self._oracle.record_fault(f"store is silent for {outage_s:.1f} s")
        for _ in range(self._random.choice((0, 1, 3))):
            self._join_gate(outage_s)

    def _join_gate(self, within_s: float) -> None:
        name = self._random.choice(DATA_CENTRES)
        number = DATA_CENTRES.index(name) + 1
        ip = f"10.{number}.1.{len(self._world.gates)}"
        if ip in self._world.gates or len(self._world.gates) > MAX_GATES:
            return
        gate = self._world.add_gate(ip, name)
        gate.is_unlisted = True
        self._oracle.record_fault(f"host {ip} joins")
        self._world.after(self._random.uniform(0.3, within_s + 0.5), self._kill, gate)

    def forget_entries(self) -> None:
        """Let the store lose the entries of some gates, which write them again."""
        self._oracle.record_fault("store has lost entries of gates")
        for gate in self._world.gates.values():
            if self._random.random() < 0.5:
                gate.is_unlisted = True
                delay = self._random.uniform(0.0, REJOIN_S)
                self._world.after(delay, self._rejoin, gate, gate.gate)

    def _rejoin(self, node: WorldGate, gate: Gate) -> None:
        if node.is_up and node.gate is gate:
            node.is_unlisted = False

    # Fronts.

    def roll_front(self) -> None:
        """Stop a front and start it again, as planned."""
        front = self._draw_front()
        if not front.is_up or not front.is_ready:
            return
        front.is_ready = False
        self._oracle.record_fault(f"front {front.ip} stops as planned")
        self._world.after(GRACE_S, self._leave_front, front, front.process)

    def _leave_front(self, front: WorldFront, process: int) -> None:
        if front.is_up and front.process == process:
            front.front.fleet.leave(self._world.now)
            self._end_front(front, self._random.uniform(0.2, 1.0))

    def _end_front(self, front: WorldFront, down_s: float) -> None:
        front.is_up = front.is_ready = False
        self._world.after(down_s, self._start_front, front)

    def _start_front(self, front: WorldFront) -> None:
        if not front.is_up:
            front.start()
            self._oracle.record_fault(f"front {front.ip} starts")

    def kill_front(self) -> None:
        """Kill a front; it starts again."""
        front = self._draw_front()
        if not front.is_up:
            return
        down_s = self._random.uniform(0.3, 4.0)
        self._oracle.disturb(front.ip, until=self._world.now + down_s)
        self._oracle.record_fault(f"front {front.ip} is killed")
        self._end_front(front, down_s)

    # Links.

    def cut_data_centre(self) -> None:
        """Cut the links between two data centres."""
        first, second = self._random.sample(DATA_CENTRES, 2)
        self._cut(self._list_ips(first), self._list_ips(second), f"{first}, {second}")

    def _list_ips(self, data_centre: str) -> list[str]:
        nodes = (*self._world.gates.values(), *self._world.fronts.values())
        return [node.ip for node in nodes if node.data_centre == data_centre]

    def _cut(self, first: Sequence[str], second: Sequence[str], name: str) -> None:
        until = self._world.now + self._random.uniform(2.0, 8.0)
        self._world.cuts = [each for each in self._world.cuts if each[2] > until - 8.0]
        self._world.cuts.append((frozenset(first), frozenset(second), until))
        self._oracle.disturb(*first, *second, until=until)
        self._oracle.record_fault(f"links cut until {until:.3f}: {name}")

    def cut_pair(self) -> None:
        """Cut the link between a front and a gate."""
        front, gate = self._draw_front().ip, self._draw_gate().ip
        self._cut([front], [gate], f"{front}, {gate}")

    def cut_node(self) -> None:
        """Cut all links of a node."""
        node = self._random.choice((self._draw_front(), self._draw_gate())).ip
        others = {*self._world.gates, *self._world.fronts} - {node}
        until = self._world.now + self._random.uniform(2.0, 8.0)
        self._world.cuts.append((frozenset((node,)), frozenset(others), until))
        self._oracle.disturb(node, until=until)
        self._oracle.record_fault(f"links cut until {until:.3f}: {node}")

    # Routers and power.

    def move_flows(self) -> None:
        """Let the routers send a part of the flows to other fronts."""
        self._oracle.record_fault("routers move flows")
        for flow in self._world.flows.values():
            if self._random.random() < 0.3:
                flow.salt = self._random.getrandbits(16)

    def move_away(self) -> None:
        """Send the flows of a data centre to the fronts of another one for a time."""
        source, target = self._random.sample(DATA_CENTRES, 2)
        moved = [
            flow for flow in self._world.flows.values() if flow.data_centre == source
        ]
        self._oracle.record_fault(f"flows of {source} go to {target}")
        for flow in moved:
            flow.data_centre = target

    def seek_unknown(self) -> None:
        """Send a packet of a flow that no host holds to each front."""
        self._oracle.record_fault("packets of unknown flows")
        target = (to_number(ROUTE[0]), ROUTE[1])
        for front in self._world.fronts:
            source = (to_number("100.65.0.7"), self._random.randrange(1_024, 65_536))
            packet = Packet(source, target, ACK, 5, self._random.getrandbits(32), b"x")
            self._world.send_from_caller(packet, front)

    def lose_power(self) -> None:
        """Stop all nodes and hosts; they return one after another."""
        back_s = self._random.uniform(1.0, 4.0)
        self._oracle.record_fault("power lost")
        for gate in self._world.gates.values():
            self._crash(gate)
            self._end_gate(gate, back_s + self._random.uniform(0.0, 1.0))
            host_s = back_s + self._random.uniform(0.0, 3.0)
            self._world.after(host_s, self._start_host, gate)
        for front in self._world.fronts.values():
            front_s = back_s + self._random.uniform(0.0, 1.0)
            self._oracle.disturb(front.ip, until=self._world.now + front_s)
            self._end_front(front, front_s)


WEIGHTS: Final = {
    "flap_host": 6,
    "release_host": 2,
    "roll_gate": 4,
    "kill_gate": 2,
    "roll_front": 4,
    "kill_front": 2,
    "cut_data_centre": 2,
    "cut_pair": 3,
    "cut_node": 3,
    "move_flows": 3,
}
"""Kinds of faults that days draw; others come only when they are named."""
DOUBT_WEIGHTS: Final = {
    "silence_store": 4,
    "forget_entries": 1,
    "kill_gate": 4,
    "kill_gate_at_host_start": 6,
    "delay_heartbeats": 4,
    "release_host": 3,
    "roll_gate": 3,
    "roll_front": 2,
    "kill_front": 1,
    "move_flows": 3,
}
"""Kinds of faults of days on which gates start without knowledge of their hosts."""
MAX_GATES: Final = 60
REJOIN_S: Final = 2.0


def draw_day(seed: int) -> Day:
    """Draw what a seed plays."""
    draw = random.Random(seed)
    amount = draw.choice((1, 2, 3, 4, len(WEIGHTS)))
    kinds = tuple(draw.sample(sorted(WEIGHTS), amount))
    if draw.random() < 0.1:
        kinds = (*kinds, "lose_power")
    return Day(
        seed,
        kinds,
        draw.choice((0.0, 0.0, 0.002, 0.02)),
        draw.choice((0.7, 1.5, 4.0)),
        draw.choice(LAYOUTS),
        draw.choice((1, 2, 2)),
        draw.choice(((0.5, 4.0), (0.5, 12.0), (4.0, 12.0))),
        draw.choice((DEFAULT_POLICY, ALL_POLICIES)),
    )


def draw_day_of_doubt(seed: int) -> Day:
    """Draw a day on which gates start without knowledge of their hosts."""
    draw = random.Random(f"doubt {seed}")
    amount = draw.choice((3, 4, 6, len(DOUBT_WEIGHTS)))
    kinds = draw.sample(sorted(DOUBT_WEIGHTS), amount)
    return replace(draw_day(seed), faults=tuple(kinds), gap_s=draw.choice((0.5, 1.0)))


def build_world(day: Day) -> FlowWorld:
    """Build the nodes and callers of a day, before its first fault."""
    world = FlowWorld(day.seed, day.loss, day.policy)
    for number, name in enumerate(DATA_CENTRES, 1):
        for index in range(day.fronts):
            world.add_front(f"10.{number}.0.{index + 1}", name)
        for index in range(day.layout[number - 1]):
            world.add_gate(f"10.{number}.0.{index + 11}", name)
    world.pass_time(START_S)
    routers = Routers(world)
    for number in range(CALLERS):
        Caller(world, routers, number, DATA_CENTRES[number % 3], day.idle_s)
    world.pass_time(START_S)
    return world


def play(day: Day, length_s: float = DAY_S) -> FlowWorld:
    """Play a day; return its world, whose oracle has the findings."""
    world = build_world(day)
    faults = Faults(world)
    table = DOUBT_WEIGHTS | WEIGHTS
    weights = [table.get(kind, 1) for kind in day.faults]
    end = world.now + length_s
    losses = 0
    while world.now < end:
        world.pass_time(world.random.expovariate(1.0 / day.gap_s))
        (kind,) = world.random.choices(day.faults, weights)
        if kind == "lose_power":
            losses += 1
            if losses > 2:
                continue
        start: Callable[[], None] = getattr(faults, kind)
        start()
    return world


def list_broken(world: FlowWorld) -> list[Finding]:
    """List the findings between machines in touch."""
    return [each for each in world.oracle.findings if not each.is_near]


def main() -> None:
    """Play seeds, and print what each has found and how often each cause came up."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length", type=float, default=DAY_S)
    parser.add_argument("--trace", action="store_true", help="print each trace")
    parser.add_argument("--near", action="store_true", help="print near ones too")
    parser.add_argument("--doubt", action="store_true", help="gates start in doubt")
    parser.add_argument("--faults", help="kinds of faults, with commas between")
    parser.add_argument("--fronts", type=int, help="fronts in each data centre")
    arguments = parser.parse_args()
    causes: Counter[tuple[bool, str, str]] = Counter()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        day = draw_day_of_doubt(seed) if arguments.doubt else draw_day(seed)
        if arguments.faults:
            day = replace(day, faults=tuple(arguments.faults.split(",")))
        if arguments.fronts:
            day = replace(day, fronts=arguments.fronts)
        world = play(day, arguments.length)
        oracle = world.oracle
        broken = list_broken(world)
        failed += bool(broken)
        print(
            f"seed {seed}: {oracle.opened} flows, {oracle.resets} resets, "
            f"{len(broken)} broken, {len(oracle.findings) - len(broken)} near; "
            f"{', '.join(day.faults)}; loss {day.loss}, gap {day.gap_s}, "
            f"gates {day.layout}, fronts {day.fronts}",
            flush=True,
        )
        for finding in oracle.findings:
            causes[finding.is_near, finding.kind, finding.cause] += 1
            if finding.is_near and not arguments.near:
                continue
            print("  " + finding.describe())
            if arguments.trace:
                print("".join(f"      {line}\n" for line in finding.trace))
    print(f"{failed} of {arguments.seeds} seeds broke rule FLOW")
    for (is_near, kind, cause), amount in sorted(causes.items()):
        print(f"{'near' if is_near else 'broken'} {amount} {kind}: {cause}")


if __name__ == "__main__":
    main()

__all__ = [
    "Day",
    "Faults",
    "build_world",
    "draw_day",
    "draw_day_of_doubt",
    "list_broken",
    "play",
]
