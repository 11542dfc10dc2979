"""Counts the events of the report in a bounded number of time slots."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections import deque
from typing import TYPE_CHECKING, Final

from ..config import Objectives
from .burn import (
    HISTORY_S,
    LATENCY_BOUNDS_MS,
    SLOT_S,
    BurnPage,
    BurnSlot,
    HostLoad,
    ServiceBurn,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

HISTORY_SLOTS: Final = HISTORY_S // SLOT_S
MAX_SLOTS: Final = 5_000
MILLISECONDS_PER_S: Final = 1_000.0


class BurnRecord:
    """Counts events by service and time slot of 10 seconds over the last hour.

    It reads no clock: the time is a parameter, in seconds of Unix time. When
    the clock jumps, the slots that are then outside the last hour are lost.

    Parameters
    ----------
    daemon : str
        Name of the host or balancer.
    data_centre : str
        Data centre of the daemon.
    max_slots : int
        Maximum number of time slots over all services; when it is reached, the
        oldest are dropped.
    """

    def __init__(
        self, daemon: str, data_centre: str, max_slots: int = MAX_SLOTS
    ) -> None:
        self._daemon = daemon
        self._data_centre = data_centre
        self._max_slots = max_slots
        self._services: dict[str, _ServiceRecord] = {}
        # Service and number of every slot, in the order of creation.
        self._order: deque[tuple[str, int]] = deque()
        # Numbers of the slots that were dropped to limit memory.
        self._dropped: deque[int] = deque(maxlen=max_slots)

    def set_objectives(
        self, service: str, profile: str, objectives: Objectives
    ) -> None:
        """Set the profile and objectives that a service is measured by from now on."""
        record = self._get_record(service)
        record.profile = profile
        record.objectives = objectives

    def set_hosts(self, service: str, hosts: Iterable[HostLoad]) -> None:
        """Set the load of the hosts of a service that this daemon reports."""
        self._get_record(service).hosts = tuple(hosts)

    def remove_service(self, service: str) -> None:
        """Remove the counts of a deleted service."""
        if self._services.pop(service, None) is not None:
            self._order = deque(item for item in self._order if item[0] != service)

    def count_answer(self, service: str, latency_s: float, now: float) -> None:
        """Count an answered request.

        Parameters
        ----------
        service : str
            Name of the service.
        latency_s : float
            Time from sending the request to the backend server to its first answer,
            in seconds.
        now : float
            Time in seconds of Unix time.
        """
        slot = self._get_slot(service, now)
        latency_ms = latency_s * MILLISECONDS_PER_S
        slot.answered += 1
        slot.latency[bisect_left(LATENCY_BOUNDS_MS, latency_ms)] += 1
        if latency_ms <= self._services[service].objectives.latency_ms:
            slot.in_time += 1

    def count_refused_not_run(self, service: str, now: float) -> None:
        """Count a request that was refused without having run."""
        self._get_slot(service, now).refused_not_run += 1

    def count_may_have_run(self, service: str, now: float) -> None:
        """Count a request without an answer that may have run."""
        self._get_slot(service, now).may_have_run += 1

    def count_broken_flows(self, service: str, now: float, flows: int = 1) -> None:
        """Count flows that were lost."""
        self._get_slot(service, now).broken_flows += flows

    def build_page(self, now: float) -> BurnPage:
        """Build the page for the hour up to `now`."""
        newest = int(now // SLOT_S)
        services = tuple(
            record.build(name, newest) for name, record in self._services.items()
        )
        oldest = newest - HISTORY_SLOTS
        dropped = sum(oldest < number <= newest for number in self._dropped)
        return BurnPage(self._daemon, self._data_centre, now, services, dropped)

    def _get_record(self, service: str) -> _ServiceRecord:
        record = self._services.get(service)
        if record is None:
            record = self._services[service] = _ServiceRecord()
        return record

    def _get_slot(self, service: str, now: float) -> _Slot:
        number = int(now // SLOT_S)
        record = self._get_record(service)
        slot = record.slots.get(number)
        if slot is None:
            self._remove_old_slots(number)
            slot = record.slots[number] = _Slot()
            self._order.append((service, number))
        return slot

    def _remove_old_slots(self, newest: int) -> None:
        """Remove slots outside the last hour, and the oldest ones at the maximum.

        Only the latter count as dropped.
        """
        while self._order:
            service, number = self._order[0]
            recent = newest - HISTORY_SLOTS < number <= newest
            if recent and len(self._order) < self._max_slots:
                return
            if recent:
                self._dropped.append(number)
            self._order.popleft()
            del self._services[service].slots[number]


class _Slot:
    """Counts of one time slot."""

    __slots__ = (
        "answered",
        "broken_flows",
        "in_time",
        "latency",
        "may_have_run",
        "refused_not_run",
    )

    def __init__(self) -> None:
        self.answered = 0
        self.in_time = 0
        self.refused_not_run = 0
        self.may_have_run = 0
        self.broken_flows = 0
        self.latency = array("L", [0] * (len(LATENCY_BOUNDS_MS) + 1))

    def build(self, number: int) -> BurnSlot:
        return BurnSlot(
            number * SLOT_S,
            self.answered,
            self.in_time,
            self.refused_not_run,
            self.may_have_run,
            self.broken_flows,
            tuple(self.latency),
        )


class _ServiceRecord:
    """Counts and objectives of one service."""

    __slots__ = ("hosts", "objectives", "profile", "slots")

    def __init__(self) -> None:
        self.profile = ""
        self.objectives = Objectives()
        self.slots: dict[int, _Slot] = {}
        self.hosts: tuple[HostLoad, ...] = ()

    def build(self, service: str, newest: int) -> ServiceBurn:
        oldest = newest - HISTORY_SLOTS
        slots = tuple(
            slot.build(number)
            for number, slot in sorted(self.slots.items())
            if oldest < number <= newest
        )
        return ServiceBurn(
            service,
            self.profile,
            self.objectives.availability,
            self.objectives.latency_ms,
            slots,
            self.hosts,
        )


__all__ = ["BurnRecord"]
