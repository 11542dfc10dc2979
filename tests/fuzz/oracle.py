"""Invariants, checked from runs, answers and versions only."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from balsamstream.core.agent import AgentDecisions
from balsamstream.core.message import RequestKind
from balsamstream.core.verdict import NotRun

if TYPE_CHECKING:
    from .world import Request, World


def check_requests(world: World, requests: list[Request]) -> None:
    """Check that requests run as the replies to their callers state.

    Each answer reaches its own caller, a request that was refused as not run has not
    run, and a non-repeatable request runs at most once.
    """
    by_payload = {request.payload: request for request in requests}
    runs = Counter(run.payload for run in world.runs)
    for reply in world.caller_replies:
        payload = reply.payload.removeprefix(b"answer ")
        request = by_payload[payload]
        assert request.caller == reply.caller, "an answer reached another caller"
        is_order = request.kind is RequestKind.NON_REPEATABLE
        if isinstance(reply.verdict, NotRun) and is_order:
            assert runs[payload] == 0, f"{request} ran and was refused as not run"
        if reply.verdict is None:
            assert runs[payload] > 0, f"{request} was answered but never ran"
    for run in world.runs:
        told_not_run = (run.host, run.payload) in world.refused
        assert not told_not_run, f"{run} was refused there as not run"
    for request in requests:
        if request.kind is RequestKind.NON_REPEATABLE:
            assert runs[request.payload] <= 1, f"{request} ran twice"


def check_services(world: World, requests: list[Request]) -> None:
    """Check that each packet runs on a host of its own service."""
    services = {request.payload: request.service for request in requests}
    for run in world.runs:
        assert run.service == services[run.payload], (
            f"{run} is on a host of another service"
        )


def check_host(agent: AgentDecisions, in_flight: int, max_limit: int) -> None:
    """Check that a host is not evacuated and has no more requests than its limit.

    Parameters
    ----------
    in_flight : int
        Requests at the backend server, including the one delivered now.
    max_limit : int
        Highest limit in force since the request was admitted.
    """
    name = agent.state.config.ref
    assert not agent.state.is_evacuated, f"{name} is evacuated and got a request"
    assert in_flight <= max_limit, f"{name} has {in_flight} requests, limit {max_limit}"


class VersionRecord:
    """Highest versions accepted by each incarnation of each process."""

    def __init__(self) -> None:
        self._highest: dict[tuple[object, str], int] = {}

    def check(self, world: World) -> None:
        """Check that no accepted version decreases."""
        for process in world.processes.values():
            if isinstance(process, AgentDecisions):
                ref, catalogue = process.state.config.ref, process.state.catalogue
            else:
                ref, catalogue = process.config.ref, process.catalogue
            versions = {"complete": catalogue.complete_to}
            versions |= {
                f"{known.kind} {known.name}": known.version
                for known in catalogue._objects.values()
            }
            for name, version in versions.items():
                key = (ref, name)
                assert version >= self._highest.get(key, 0), (
                    f"version of {key} decreased"
                )
                self._highest[key] = version


__all__ = ["VersionRecord", "check_host", "check_requests", "check_services"]
