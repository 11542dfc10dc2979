"""State that the parts of an agent's decisions share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from .action import Send
from .catalogue import Catalogue, compute_service_number
from .flows import FlowTable
from .load import PeerLoads
from .message import Refusal
from .routing import Routing
from .verdict import MayHaveRun, NotRun
from .view import View

if TYPE_CHECKING:
    from random import Random

    from ..config.objects import Profile
    from .admission import Admission
    from .identity import Address, ProcessRef
    from .message import Packet

MAX_FLOWS: Final = 60_000

HEAD_BYTES: Final = 32
"""Start of a datagram that suffices to build a refusal: CoAP header, longest token."""


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """Configuration of an agent from its settings.

    Parameters
    ----------
    ref : ProcessRef
        Name of the host and the incarnation of this process.
    address : Address
        Address on which the agent receives messages from other processes.
    service : str
        The one service of the backend server.
    data_centre : str
        Name of the host's data centre.
    slots : int
        Weight of the host: its capacity relative to other hosts.
    peers : tuple of Address
        Processes to request configuration from, usually balancers.
    """

    ref: ProcessRef
    address: Address
    service: str
    data_centre: str
    slots: int
    peers: tuple[Address, ...] = ()


@dataclass(slots=True)
class AgentState:
    """State that several parts of an agent's decisions read.

    Attributes
    ----------
    admission : Admission or None
        None until the profile of the service is known.
    leaving : bool
        Whether this process takes no new flows, as it stops gracefully or has been
        replaced by another incarnation.
    max_flows : int
        Upper bound of held flows.
    """

    config: AgentConfig
    random: Random
    service_number: int = 0
    catalogue: Catalogue = field(default_factory=Catalogue)
    flows: FlowTable = field(default_factory=FlowTable)
    loads: PeerLoads = field(default_factory=PeerLoads)
    routing: Routing = field(
        default_factory=lambda: Routing(View("", 0), frozenset(), 0)
    )
    admission: Admission | None = None
    leaving: bool = False
    max_flows: int = MAX_FLOWS

    @classmethod
    def create(cls, config: AgentConfig, random: Random) -> AgentState:
        """Build the state of an agent that has no configuration objects yet."""
        return cls(
            config,
            random,
            compute_service_number(config.service),
            Catalogue(config.service),
        )

    @property
    def profile(self) -> Profile | None:
        """Profile of the service, or None if it is not known yet."""
        entry = self.catalogue.find_service(self.config.service)
        return None if entry is None else entry.profile

    @property
    def is_evacuated(self) -> bool:
        """Whether operators evacuated this host's data centre."""
        return self.config.data_centre in self.routing.evacuated

    @property
    def is_reachable(self) -> bool:
        """Whether the view lists this incarnation of the host as reachable."""
        return any(member.ref == self.config.ref for member in self.routing.reachable)

    @property
    def takes_flows(self) -> bool:
        """Whether new flows may be opened here, apart from the limits of admission."""
        if self.leaving or self.is_evacuated or self.admission is None:
            return False
        if len(self.flows) >= self.max_flows:
            return False
        return any(member.ref == self.config.ref for member in self.routing.eligible)

    def update_routing(self) -> bool:
        """Recompute the routing and return whether it changed."""
        view = self.catalogue.find_view(self.config.service)
        if view is None:
            view = View(self.config.service, 0)
        version = self.catalogue.data_centres_version
        evacuated = self.catalogue.evacuated
        old = self.routing
        same = old.view == view and old.version.data_centres == version
        if same and old.evacuated == evacuated:
            return False
        self.routing = Routing(view, evacuated, version)
        return True

    def build_refusal(self, packet: Packet, verdict: NotRun | MayHaveRun) -> Send:
        """Build a packet's refusal, sent to the balancer that the packet came through.

        Parameters
        ----------
        verdict : NotRun or MayHaveRun
            Whether the refused request may have run.
        """
        refusal = Refusal(
            self.service_number,
            packet.flow,
            packet.caller,
            self.routing.version,
            verdict,
            packet.payload[:HEAD_BYTES],
        )
        return Send(packet.via, refusal)

    def draw_not_run(self, reason: str) -> NotRun:
        """Draw a verdict with a random retry time, which spreads callers' retries."""
        profile = self.profile
        if profile is None:
            return NotRun(1.0, reason)
        spread = profile.retry_after_s
        return NotRun(self.random.uniform(spread.least, spread.most), reason)


__all__ = ["HEAD_BYTES", "AgentConfig", "AgentState"]
