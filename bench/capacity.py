"""Computes the tables of ``docs/CAPACITY.md`` from measured slopes."""

from __future__ import annotations

import json
import math
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from balsamstream.core.config_poller import POLL_INTERVAL_S, SOURCES_PER_POLL
from balsamstream.core.distribution import (
    CHILDREN_PER_BALANCER,
    WATCHERS_PER_DATA_CENTRE,
)
from balsamstream.core.load import REPORTS_PER_S

from .slopes import SLOPES_FILE

PAGE: Final = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
BEGIN: Final = "<!-- tables: begin, written by make capacity -->"
END: Final = "<!-- tables: end -->"

NODES: Final = 19_000
HOSTS: Final = 200_000
SERVICES: Final = 18_000
FLOWS: Final = 310_000_000
NEW_FLOWS_PER_S: Final = 770_000
DATA_CENTRES: Final = 10
CHANGES_PER_DAY: Final = 17_000
FAILURES_PER_DAY: Final = 860
RESTARTS_PER_DAY: Final = 13_000
RACK_HOSTS: Final = 40
LOST_HOSTS: Final = 20_000
PROFILES: Final = 100
DAY_S: Final = 86_400

MAX_CORE_SHARE: Final = 0.03
MAX_MB: Final = 64.0
MAX_BYTES_PER_S: Final = 2_000.0
MAX_WRITES_PER_S: Final = 400.0
MAX_READS_PER_S: Final = 2_000.0
MAX_SPREAD_S: Final = 6.0

EDITS_PER_FAILURE: Final = 2
"""A silent host is marked down, and joins again when it returns."""

EDITS_PER_RESTART: Final = 3
"""Draining, leaving, joining."""

VOTER_EDIT_SHARE: Final = 0.3
"""Share of edits that change voters and are followed by a trim of the old set."""

HOP_S: Final = 0.05
"""Longest delay of a change at a balancer with a busy event loop, and the network."""

CLAIMS_PER_FLOW: Final = 0.05
"""Share of new flows that carry a non-repeatable request."""

CLAIM_KEPT_S: Final = 600.0


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a table.

    Parameters
    ----------
    value, limit : float
        Amount used and the most allowed, in the same unit.
    mechanism : str
        Mechanism that the value depends on.
    """

    role: str
    what: str
    value: float
    limit: float
    unit: str
    mechanism: str

    @property
    def fits(self) -> bool:
        """Whether the value is within the limit."""
        return self.value <= self.limit


class Slopes:
    """The measured slopes, by group and name."""

    def __init__(self, measured: dict[str, Any]) -> None:
        self.values = measured
        self.state: dict[str, float] = measured["state_bytes"]
        self.size: dict[str, float] = measured["message_bytes"]
        self.time_us: dict[str, float] = measured["time_us"]
        self.resident: dict[str, float] = measured["resident_mb"]
        self.tick: dict[str, float] = measured["tick_core_share"]

    def size_view(self, hosts: float) -> float:
        """Return the bytes of a view as a message."""
        size = self.size
        return size["view_change_base"] + hosts * size["view_change_per_host"]


def count_edits_per_s() -> float:
    """Return edits of views a second on an ordinary day."""
    edits = EDITS_PER_FAILURE * FAILURES_PER_DAY + EDITS_PER_RESTART * RESTARTS_PER_DAY
    share = HOSTS / (HOSTS + NODES)
    return (1.0 + VOTER_EDIT_SHARE) * share * edits / DAY_S


def count_balancer_edits_per_s() -> float:
    """Return changes of balancers' objects a second on an ordinary day."""
    edits = FAILURES_PER_DAY + RESTARTS_PER_DAY
    return edits * NODES / (HOSTS + NODES) / DAY_S


def count_changes_per_s() -> float:
    """Return configuration changes a second."""
    return CHANGES_PER_DAY / DAY_S


def compute_spread_rate(slopes: Slopes) -> float:
    """Return bytes a second of one copy of all changes."""
    hosts = HOSTS / SERVICES
    return (
        count_edits_per_s() * slopes.size_view(hosts)
        + count_balancer_edits_per_s() * slopes.size["balancer_change"]
        + count_changes_per_s() * slopes.size["service_change"]
    )


def list_memory(slopes: Slopes) -> list[Line]:
    """Return the memory of each role."""
    state = slopes.state
    hosts = HOSTS / SERVICES
    flows_per_host = FLOWS / HOSTS
    catalogue = (
        SERVICES * (state["service_in_catalogue"] + state["view_without_hosts"])
        + HOSTS * state["host_in_catalogue"]
        + NODES * state["balancer_in_catalogue"]
    ) / 1e6
    hints = 100_000 * state["hint_at_balancer"] / 1e6
    routings = SERVICES * state["routing_with_all_buckets"] / 1e6
    base = slopes.resident["daemon"]
    agent_flows = flows_per_host * state["flow_at_agent"] / 1e6
    agent_view = (
        state["view_without_hosts"] + hosts * state["host_in_catalogue"]
    ) / 1e6
    claims = _count_claims_per_voter() * state["claim_at_voter"] / 1e6
    ranked = state["routing_with_all_buckets"] / 1e6
    agent = base + agent_flows + agent_view + ranked
    return [
        Line("balancer", "interpreter and imports", base, MAX_MB, "MB", "imports"),
        Line(
            "balancer",
            "catalogue of everything",
            catalogue,
            MAX_MB - base,
            "MB",
            "whole catalogue on every balancer",
        ),
        Line(
            "balancer",
            "hints, at their bound",
            hints,
            MAX_MB - base,
            "MB",
            "bounded table, two halves",
        ),
        Line(
            "balancer",
            "routings, all services in use",
            routings,
            MAX_MB - base,
            "MB",
            "ranking of 512 buckets, filled at use",
        ),
        Line(
            "balancer",
            "in all",
            base + catalogue + hints + routings,
            MAX_MB,
            "MB",
            "sum of the above",
        ),
        Line(
            "watching balancer",
            "in all",
            base + catalogue + hints + routings,
            MAX_MB,
            "MB",
            "as any balancer",
        ),
        Line(
            "agent",
            f"flows, {flows_per_host:,.0f} a host",
            agent_flows,
            MAX_MB - base,
            "MB",
            "flow table",
        ),
        Line(
            "agent",
            "own service's view and ranking",
            agent_view + ranked,
            MAX_MB - base,
            "MB",
            "agents follow one service",
        ),
        Line("agent", "in all", agent, MAX_MB, "MB", "sum of the above"),
        Line(
            "voter",
            "agent and claims kept 600 s",
            agent + claims,
            MAX_MB,
            "MB",
            "claims by three voters a service",
        ),
    ]


def _count_claims_per_voter() -> float:
    per_service = NEW_FLOWS_PER_S * CLAIMS_PER_FLOW / SERVICES
    return per_service * CLAIM_KEPT_S


def list_traffic(slopes: Slopes) -> list[Line]:
    """Return bytes a second of each role, both directions together."""
    size = slopes.size
    hosts = HOSTS / SERVICES
    reports = 2 * min(REPORTS_PER_S, hosts - 1) * size["load_report"]
    polls_per_s = SOURCES_PER_POLL / (0.9 * POLL_INTERVAL_S)
    poll_bytes_per_s = polls_per_s * (size["changes_ask"] + size["changes_empty"])
    own_edits = count_edits_per_s() / SERVICES * slopes.size_view(hosts)
    one_copy = compute_spread_rate(slopes)
    agents = HOSTS / NODES
    leaf = 2 * poll_bytes_per_s / 2 + agents * poll_bytes_per_s + one_copy
    inner = leaf + CHILDREN_PER_BALANCER * one_copy
    watcher = inner + one_copy
    claims = NEW_FLOWS_PER_S * CLAIMS_PER_FLOW / SERVICES
    vote = claims * (size["claim_ask"] + size["claim_reply"])
    agent = reports + poll_bytes_per_s + own_edits
    return [
        Line(
            "agent",
            "load reports",
            reports,
            MAX_BYTES_PER_S,
            "B/s",
            f"to {REPORTS_PER_S} hosts a second in turn",
        ),
        Line(
            "agent",
            "in all, at rest",
            agent,
            MAX_BYTES_PER_S,
            "B/s",
            "reports, questions, own view's changes",
        ),
        Line(
            "voter",
            "votes and the agent's own",
            vote + agent,
            MAX_BYTES_PER_S,
            "B/s",
            "one question and answer for each claim",
        ),
        Line(
            "balancer",
            "leaf of the tree",
            leaf,
            MAX_BYTES_PER_S,
            "B/s",
            f"{agents:.1f} agents and itself asking, one copy of changes",
        ),
        Line(
            "balancer",
            "inner place in the tree",
            inner,
            MAX_BYTES_PER_S,
            "B/s",
            f"pushes to {CHILDREN_PER_BALANCER} balancers",
        ),
        Line(
            "watching balancer",
            "in all",
            watcher,
            MAX_BYTES_PER_S,
            "B/s",
            "inner place and the platform's watch, in its own encoding at least",
        ),
    ]


def list_time(slopes: Slopes) -> list[Line]:
    """Return the share of a core that control takes in each role."""
    time_us = slopes.time_us
    agents = HOSTS / NODES
    polls_per_s = SOURCES_PER_POLL / (0.9 * POLL_INTERVAL_S)
    changes = count_edits_per_s() + count_balancer_edits_per_s() + count_changes_per_s()
    answers = (agents + 1) * polls_per_s * time_us["answer_ask_base"] / 1e6
    decode = changes * time_us["take_view_of_11_hosts"] / 1e6
    push = CHILDREN_PER_BALANCER * changes * time_us["build_view_of_11_hosts"] / 1e6
    tick = slopes.tick["balancer"]
    reports = REPORTS_PER_S * (
        time_us["take_load_report"] + time_us["build_load_report"]
    )
    claims = NEW_FLOWS_PER_S * CLAIMS_PER_FLOW / SERVICES
    vote = claims * 2 * time_us["take_load_report"] / 1e6
    agent = slopes.tick["agent"] + reports / 1e6
    return [
        Line(
            "balancer",
            "ticks, questions, changes, inner place",
            100 * (tick + answers + decode + push),
            100 * MAX_CORE_SHARE,
            "% of a core",
            "one event loop",
        ),
        Line(
            "watching balancer",
            "the same and one read of each change",
            100 * (tick + answers + 2 * decode + push),
            100 * MAX_CORE_SHARE,
            "% of a core",
            "watch, one line for each change",
        ),
        Line(
            "agent",
            "ticks and load reports",
            100 * agent,
            100 * MAX_CORE_SHARE,
            "% of a core",
            "one event loop",
        ),
        Line(
            "voter",
            "the agent's and votes",
            100 * (agent + vote),
            100 * MAX_CORE_SHARE,
            "% of a core",
            "claims in memory",
        ),
    ]


def list_platform() -> list[Line]:
    """Return calls a second to the platform."""
    edits = count_edits_per_s()
    writes = edits + count_balancer_edits_per_s() + count_changes_per_s()
    watches = WATCHERS_PER_DATA_CENTRE * DATA_CENTRES
    reads = edits + watches + RESTARTS_PER_DAY / DAY_S
    rack = RACK_HOSTS * (1 + VOTER_EDIT_SHARE)
    lost = LOST_HOSTS * (1 + VOTER_EDIT_SHARE)
    return [
        Line(
            "platform",
            "writes, ordinary day",
            writes,
            MAX_WRITES_PER_S,
            "calls/s",
            "views by conditional update, no lease a host",
        ),
        Line(
            "platform",
            "reads and waiting watches, ordinary day",
            reads,
            MAX_READS_PER_S,
            "calls/s",
            f"{WATCHERS_PER_DATA_CENTRE} watches a data centre, one read an edit",
        ),
        Line(
            "platform",
            "a rack lost: writes until all are marked down",
            rack / MAX_WRITES_PER_S,
            MAX_SPREAD_S,
            "s",
            "one write a host",
        ),
        Line(
            "platform",
            "a data centre of 20,000 hosts taken out by operators",
            1 / MAX_WRITES_PER_S,
            MAX_SPREAD_S,
            "s",
            "one object a data centre",
        ),
        Line(
            "platform",
            "the same lost without order: until all are marked down",
            lost / MAX_WRITES_PER_S,
            MAX_SPREAD_S,
            "s",
            "one write a host, at the platform's full rate",
        ),
        Line(
            "platform",
            "the same back at once: until all have joined",
            lost / MAX_WRITES_PER_S,
            MAX_SPREAD_S,
            "s",
            "one write a host; conflicts on a view add to it",
        ),
        Line(
            "platform",
            "regions apart: watches of a cut region waiting again",
            float(watches),
            MAX_READS_PER_S,
            "calls/s",
            "views in force stay; peers give changes within a region",
        ),
    ]


def list_spread(slopes: Slopes) -> list[Line]:
    """Return the times until changes are in force everywhere."""
    per_centre = NODES / DATA_CENTRES
    levels = math.ceil(math.log(per_centre, CHILDREN_PER_BALANCER)) + 1
    build_s = CHILDREN_PER_BALANCER * slopes.time_us["build_view_of_11_hosts"] / 1e6
    lost = LOST_HOSTS / MAX_WRITES_PER_S
    burst = LOST_HOSTS * slopes.size_view(HOSTS / SERVICES) / lost
    return [
        Line(
            "balancer",
            f"a change through {levels} levels and to agents",
            (levels + 1) * (HOP_S + build_s),
            MAX_SPREAD_S,
            "s",
            "tree in each data centre, pushed at once",
        ),
        Line(
            "balancer",
            "the same where every push is lost once",
            (levels + 1) * (HOP_S + build_s + POLL_INTERVAL_S),
            MAX_SPREAD_S,
            "s",
            "questions every two seconds close the gap, level by level",
        ),
        Line(
            "balancer",
            "one copy of 20,000 joins at 400 a second",
            burst,
            MAX_BYTES_PER_S,
            "B/s",
            "whole views, one for each join",
        ),
    ]


def format_number(value: float) -> str:
    """Format a number with three significant digits, without an exponent."""
    return f"{value:,.0f}" if value >= 1_000 else f"{value:.3g}"


def write_table(title: str, lines: list[Line]) -> str:
    """Format lines as a table in Markdown."""
    rows = [
        f"### {title}",
        "",
        "| role | what | uses | may use | unit | carried by | |",
    ]
    rows.append("|---|---|---|---|---|---|---|")
    for line in lines:
        mark = "fits" if line.fits else "**DOES NOT FIT YET**"
        rows.append(
            f"| {line.role} | {line.what} | {format_number(line.value)} "
            f"| {format_number(line.limit)} "
            f"| {line.unit} | {line.mechanism} | {mark} |"
        )
    return "\n".join(rows)


def write_tables(slopes: Slopes) -> str:
    """Format all tables of the page."""
    tables = [
        write_table("Memory", list_memory(slopes)),
        write_table("Control traffic", list_traffic(slopes)),
        write_table("Processor time for control", list_time(slopes)),
        write_table("Calls to the platform", list_platform()),
        write_table("Changes in force everywhere", list_spread(slopes)),
        write_slopes(slopes),
    ]
    return "\n\n".join(tables)


def write_slopes(slopes: Slopes) -> str:
    """Format the measured slopes as a table."""
    rows = [f"### Slopes, measured {slopes.values['measured']}", ""]
    rows.append(f"{slopes.values['how']}.")
    rows += ["", "| group | slope | value |", "|---|---|---|"]
    for group, values in slopes.values.items():
        if not isinstance(values, dict):
            continue
        rows += [f"| {group} | {name} | {value:,} |" for name, value in values.items()]
    return "\n".join(rows)


def run() -> int:
    """Write the tables into the page."""
    slopes = Slopes(json.loads(SLOPES_FILE.read_text()))
    text = PAGE.read_text()
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    tables = write_tables(slopes)
    PAGE.write_text(f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}")
    return 0


if __name__ == "__main__":
    sys.exit(run())

__all__ = ["Line", "Slopes", "run", "write_tables"]
