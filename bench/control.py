"""Case 6: bytes, messages and processor time of control traffic."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Final

from balsamstream.core.message import Answer, Packet, Refusal
from balsamstream.wire.codec import encode_message
from balsamstream.wire.seal import SEAL_BYTES

from .balanced import BalancedSite
from .change import add_host
from .deployment import BOARDS, COMPTOIR

if TYPE_CHECKING:
    from collections.abc import Iterator

    from balsamstream.core.agent import AgentDecisions
    from balsamstream.core.balancer import BalancerDecisions
    from balsamstream.core.identity import Address
    from balsamstream.core.message import Message

UDP_BYTES: Final = 28
"""IPv4 and UDP headers of a datagram."""

REST_S: Final = 20.0
CHANGE_S: Final = 6.0
HOST_COUNTS: Final = (3, 7, 14, 28)
BALANCER_COUNTS: Final = (3, 12, 48)


class MeteredSite(BalancedSite):
    """Counts control messages and the processor time of each process."""

    sent: Counter[Address]
    sent_bytes: Counter[Address]
    by_kind: Counter[str]
    seconds: dict[Address, float]

    def reset(self) -> None:
        """Reset all counts."""
        self.sent = Counter()
        self.sent_bytes = Counter()
        self.by_kind = Counter()
        self.seconds = defaultdict(float)

    def __init__(self, *values: Any, **settings: Any) -> None:  # noqa: ANN401
        self.reset()
        super().__init__(*values, **settings)

    def receive(self, sender: Address, to: Address, message: Message) -> None:
        """Deliver a message and time its receiver."""
        started_at = time.perf_counter()
        super().receive(sender, to, message)
        self.seconds[to] += time.perf_counter() - started_at

    def tick(
        self, address: Address, process: AgentDecisions | BalancerDecisions
    ) -> None:
        """Run and time the periodic work of a process."""
        started_at = time.perf_counter()
        super().tick(address, process)
        self.seconds[address] += time.perf_counter() - started_at

    def _transmit(self, source: Address, to: Address, message: Message) -> None:
        super()._transmit(source, to, message)
        if isinstance(message, Packet | Answer | Refusal):
            return
        size = len(encode_message(message)) + SEAL_BYTES + UDP_BYTES
        for end in (source, to):
            self.sent[end] += 1
            self.sent_bytes[end] += size
        self.by_kind[type(message).__name__] += size


@dataclass(frozen=True, slots=True)
class Load:
    """Control load of one process, sent and received together."""

    messages_per_s: float
    bytes_per_s: float
    core_share: float


def compute_load(site: MeteredSite, addresses: list[Address], seconds: float) -> Load:
    """Return the mean load of some processes."""
    span = seconds * len(addresses)
    return Load(
        round(sum(site.sent[address] for address in addresses) / span, 3),
        round(sum(site.sent_bytes[address] for address in addresses) / span, 1),
        round(sum(site.seconds[address] for address in addresses) / span, 6),
    )


def measure_size(hosts: int, balancers: int, seed: int) -> dict[str, Any]:
    """Measure one size at rest and while a host joins."""
    sized = replace(COMPTOIR, hosts=hosts, profile=BOARDS)
    site = MeteredSite(sized, seed, 0.004, balancers=balancers)
    site.queue.run_for(5.0)
    site.reset()
    site.queue.run_for(REST_S)
    agents = [agent.state.config.address for agent in site.agents.values()]
    entries = [balancer.config.address for balancer in site.balancers.values()]
    at_rest = {
        "agent": compute_load(site, agents, REST_S),
        "balancer": compute_load(site, entries, REST_S),
    }
    kinds = {
        kind: round(size / REST_S / len(site.processes), 1)
        for kind, size in site.by_kind.most_common()
    }
    site.reset()
    add_host(site)
    site.queue.run_for(CHANGE_S)
    changed_bytes = compute_load(site, agents, 1.0)
    return {
        "hosts": hosts,
        "balancers": balancers,
        "rest_agent": at_rest["agent"],
        "rest_balancer": at_rest["balancer"],
        "rest_bytes_per_process_by_kind": kinds,
        "join_agent_bytes": round(
            changed_bytes.bytes_per_s - CHANGE_S * at_rest["agent"].bytes_per_s
        ),
        "join_balancer_bytes": round(
            compute_load(site, entries, 1.0).bytes_per_s
            - CHANGE_S * at_rest["balancer"].bytes_per_s
        ),
    }


def measure(seed: int) -> Iterator[dict[str, Any]]:
    """Measure over numbers of hosts and of balancers."""
    for hosts in HOST_COUNTS:
        yield _describe(measure_size(hosts, 3, seed))
    for balancers in BALANCER_COUNTS:
        yield _describe(measure_size(7, balancers, seed))


def _describe(measured: dict[str, Any]) -> dict[str, Any]:
    line: dict[str, Any] = {"case": "control"}
    for name, value in measured.items():
        if isinstance(value, Load):
            line[f"{name}_messages_per_s"] = value.messages_per_s
            line[f"{name}_bytes_per_s"] = value.bytes_per_s
            line[f"{name}_core_share"] = value.core_share
            continue
        line[name] = value
    return line


__all__ = ["Load", "measure", "measure_size"]
