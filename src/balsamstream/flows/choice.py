"""Choice of a host for a new flow by the decisions that are switched on.

Load pattern: a service that is full at all its hosts. A flow that no host can answer
before its deadline is refused by the front, which keeps the packets off the links
between data centres and lets the caller know at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .delay import DelayEstimator
from .placement import choose_host, is_usable

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from .delay import NewFlow
    from .load_policy import LoadPolicy
    from .placement import Host


@dataclass(frozen=True, slots=True)
class Choice:
    """Outcome of the choice.

    Attributes
    ----------
    host : Host or None
        Chosen host, None if there is none.
    reason : str
        Why there is none: `no host` or `overload`.
    expected_s : float
        Expected time until an answer of the chosen host, or of the one that would be
        if it were in time, in seconds; 0 if not estimated.
    """

    host: Host | None
    reason: str = ""
    expected_s: float = 0.0


class HostChooser:
    """Chooses hosts for one front.

    Parameters
    ----------
    policy : LoadPolicy
        Decisions that are switched on.
    ip, data_centre : str
        Address and data centre of the front.
    """

    def __init__(self, policy: LoadPolicy, ip: str, data_centre: str) -> None:
        self._policy = policy
        self._data_centre = data_centre
        self._estimator = DelayEstimator(ip, data_centre)

    def choose(
        self,
        hosts: Sequence[Host],
        flow: NewFlow,
        evacuated: Collection[str],
        declined_by: Collection[str],
        left_s: float,
        now: float,
    ) -> Choice:
        """Choose the host for a new flow.

        Parameters
        ----------
        hosts : sequence of Host
            Hosts of the service.
        flow : NewFlow
            The flow.
        evacuated : collection of str
            Data centres that get no new flows.
        declined_by : collection of str
            Hosts that have declined this flow, by address.
        left_s : float
            Time in which the answer is useful to the caller, in seconds.
        now : float
            Time, in seconds.
        """
        if not self._policy.estimates_delays:
            host = choose_host(
                hosts, self._data_centre, evacuated, declined_by, now, flow.key
            )
            return Choice(host, "no host")
        usable = [
            host for host in hosts if is_usable(host, evacuated, declined_by, now)
        ]
        if not usable:
            return Choice(None, "no host")
        # A host of reduced use is chosen only if no other can take the flow.
        eligible = [host for host in usable if host.is_eligible(flow.key, now)]
        typical_s = self._estimator.get_typical_service_s(hosts, flow, now)
        chosen, expected_s = self._choose_usable(
            eligible or usable, flow, typical_s, now
        )
        if not self._policy.by_deadline:
            return Choice(chosen, "", expected_s)

        def can_answer(host: Host) -> bool:
            return self._estimator.can_answer(host, flow, typical_s, left_s, now)

        if can_answer(chosen):
            return Choice(chosen, "", expected_s)
        in_time = [host for host in eligible if can_answer(host)] or [
            host for host in usable if can_answer(host)
        ]
        if not in_time:
            return Choice(None, "overload", expected_s)
        chosen, expected_s = self._choose_usable(in_time, flow, typical_s, now)
        return Choice(chosen, "", expected_s)

    def _choose_usable(
        self,
        usable: Sequence[Host],
        flow: NewFlow,
        typical_s: float,
        now: float,
    ) -> tuple[Host, float]:
        """Choose among hosts that may get the flow, of which there is at least one.

        Returns
        -------
        Host, float
            The host and the expected time there, in seconds.
        """
        if self._policy.by_delay:
            rested = [host for host in usable if now >= host.avoid_until]
            return self._estimator.choose(rested or usable, flow, typical_s, now)
        host = choose_host(usable, self._data_centre, (), (), now, flow.key)
        host = host or usable[0]
        service_s = host.service_times.get(flow.route_tag, typical_s)
        return host, self._estimator.estimate(host, service_s, now)


__all__ = ["Choice", "HostChooser"]
