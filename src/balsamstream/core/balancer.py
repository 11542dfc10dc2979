"""Decisions of a balancer on an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .action import Count, EditView, RefuseCaller, ReturnToCaller, Send
from .catalogue import Catalogue, compute_service_number
from .claim import VoterRole
from .distribution import Distribution
from .hints import Hints
from .liveness import Liveness
from .message import (
    Answer,
    Changes,
    ChangesRequest,
    ClaimReply,
    ClaimRequest,
    Packet,
    PacketFlag,
    Ping,
    Pong,
    Refusal,
    RequestKind,
    SealReply,
    SealRequest,
)
from .refusal import RefusalClaims
from .routing import Routing
from .state import HEAD_BYTES
from .view import View

if TYPE_CHECKING:
    from random import Random

    from .action import Action
    from .balancer_config import BalancerConfig
    from .catalogue import ServiceEntry
    from .identity import Address, FlowKey, ProcessRef, RequestKey
    from .message import ConfigObject, Message
    from .routing import RoutingVersion
    from .view import Member


class BalancerDecisions:
    """Routes callers' datagrams to hosts and returns the hosts' answers.

    A balancer is not authoritative for flows: its hints may be wrong or lost.

    Parameters
    ----------
    config : BalancerConfig
        Settings of the balancer.
    random : Random
        Source of randomness, seeded by tests.
    """

    def __init__(self, config: BalancerConfig, random: Random) -> None:
        self.config = config
        self.catalogue = Catalogue()
        self.distribution = Distribution(config, self.catalogue, random)
        self.liveness = Liveness()
        self.refusals = RefusalClaims(random)
        self._hints = Hints(config.max_hints)
        self._routings: dict[int, Routing] = {}
        self._hosts: dict[Address, tuple[int, ProcessRef]] = {}
        self._voters: dict[str, VoterRole] = {}

    @property
    def should_watch(self) -> bool:
        """Whether this balancer watches the platform."""
        return self.distribution.should_watch

    @property
    def hint_count(self) -> int:
        """Number of flows recorded as held by a host other than the owner."""
        return len(self._hints)

    def find_routing(self, entry: ServiceEntry) -> Routing:
        """Return the routing of a service; computed at first use and cached."""
        routing = self._routings.get(entry.number)
        if routing is not None:
            return routing
        view = self.catalogue.find_view(entry.spec.name)
        if view is None:
            view = View(entry.spec.name, 0)
        routing = Routing(
            view, self.catalogue.evacuated, self.catalogue.data_centres_version
        )
        self._routings[entry.number] = routing
        self._forget_hosts(entry.number)
        for member in routing.reachable:
            self._hosts[member.address] = (entry.number, member.ref)
        return routing

    def _forget_hosts(self, service: int) -> None:
        """Forget the hosts of a service; those of the new view are added again."""
        for address, (number, _) in list(self._hosts.items()):
            if number == service:
                del self._hosts[address]

    def route(
        self,
        entry: ServiceEntry,
        flow: FlowKey,
        caller: Address,
        kind: RequestKind,
        request: RequestKey,
        payload: bytes,
        now: float,
    ) -> list[Action]:
        """Send a caller's datagram to the host of its flow, or refuse it."""
        routing = self.find_routing(entry)
        member, flags = self._choose_host(routing, flow)
        if member is None:
            return self._refuse(entry, routing, caller, kind, request, payload, now)
        packet = Packet(
            entry.number,
            flow,
            caller,
            self.config.address,
            routing.version,
            kind,
            request,
            entry.profile.deadline_ms,
            payload,
            0,
            flags,
        )
        if kind is not RequestKind.NONE:
            self.liveness.record_sent(member.address, now)
        return [Send(member.address, packet)]

    def handle_message(
        self, sender: Address, message: Message, now: float
    ) -> list[Action]:
        """Handle a message from another process."""
        match message:
            case Answer():
                return self._handle_answer(sender, message, now)
            case Refusal():
                return self._handle_refusal(sender, message, now)
            case Pong():
                self.liveness.record_heard(sender, now)
                return []
            case Ping():
                return [Send(sender, Pong(message.number, self.config.ref))]
            case ChangesRequest():
                return self.distribution.handle_changes_request(sender, message, now)
            case Changes():
                return self._handle_changes(sender, message, now)
            case ClaimRequest():
                role = self._find_voter(message.service, now)
                if role is None:
                    return [Count("unexpected_message")]
                return [Send(sender, role.handle_claim_request(message, now))]
            case ClaimReply():
                return self.refusals.handle_claim_reply(message)
            case SealRequest():
                role = self._find_voter(message.service, now)
                reply = None if role is None else role.handle_seal_request(message)
                return [] if reply is None else [Send(sender, reply)]
            case SealReply():
                role = self._voters.get(message.service)
                return (
                    [] if role is None else list(role.handle_seal_reply(message, now))
                )
            case _:
                return [Count("unexpected_message")]

    def handle_pause(self, gap_s: float, now: float) -> list[Action]:
        """Stop waiting for hosts, so that none is suspected because of the pause."""
        self.liveness.clear_waits(now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Run timers: pings, retries of claims, polls and edits of views."""
        actions: list[Action] = list(self.liveness.tick(now))
        actions += self.refusals.tick(now)
        actions += self.distribution.tick(now)
        for service, role in self._voters.items():
            actions += role.tick(now)
            trim = role.plan_trim(now)
            if trim is not None:
                actions.append(EditView(service, trim))
        return actions

    # --- packets -------------------------------------------------------------------

    def _choose_host(
        self, routing: Routing, flow: FlowKey
    ) -> tuple[Member | None, PacketFlag]:
        hinted = self._hints.find(flow)
        if hinted is not None:
            member = routing.find_reachable_by_address(hinted)
            if member is not None and not self.liveness.is_suspect(hinted):
                return member, PacketFlag.NONE
            self._hints.remove(flow)
        ranked = routing.rank(flow)
        if not ranked:
            return None, PacketFlag.NONE
        for position, member in enumerate(ranked):
            if self.liveness.is_suspect(member.address):
                continue
            return member, PacketFlag.ACTING if position else PacketFlag.NONE
        # If every candidate is suspected, the fault is probably on this side.
        return ranked[0], PacketFlag.NONE

    def _refuse(
        self,
        entry: ServiceEntry,
        routing: Routing,
        caller: Address,
        kind: RequestKind,
        request: RequestKey,
        payload: bytes,
        now: float,
    ) -> list[Action]:
        head = payload[:HEAD_BYTES]
        match kind:
            case RequestKind.NONE:
                return [Count("dropped")]
            case RequestKind.REPEATABLE:
                verdict = self.refusals.draw_not_run(entry.profile, "no host")
                refusal = RefuseCaller(entry.number, caller, verdict, head)
                return [refusal, Count("refused_not_run")]
            case RequestKind.NON_REPEATABLE:
                return self.refusals.refuse(
                    entry.number,
                    caller,
                    head,
                    request,
                    entry.profile,
                    routing.view,
                    now,
                )

    def _handle_answer(
        self, sender: Address, answer: Answer, now: float
    ) -> list[Action]:
        self.liveness.record_heard(sender, now)
        known = self._hosts.get(sender)
        if known is not None and known[0] != answer.service:
            return [Count("wrong_service")]
        actions: list[Action] = [
            ReturnToCaller(answer.service, answer.caller, answer.payload)
        ]
        routing = self._routings.get(answer.service)
        if routing is None:
            return actions
        if known is not None:
            self._update_hint(routing, answer.flow, sender)
        return actions + self._request_if_outdated(sender, routing, answer.version, now)

    def _update_hint(self, routing: Routing, flow: FlowKey, holder: Address) -> None:
        owner = routing.find_owner(flow)
        if owner is not None and owner.address == holder:
            self._hints.remove(flow)
            return
        self._hints.record(flow, holder)

    def _handle_refusal(
        self, sender: Address, refusal: Refusal, now: float
    ) -> list[Action]:
        self.liveness.record_heard(sender, now)
        actions: list[Action] = [
            RefuseCaller(refusal.service, refusal.caller, refusal.verdict, refusal.head)
        ]
        routing = self._routings.get(refusal.service)
        if routing is None:
            return actions
        return actions + self._request_if_outdated(
            sender, routing, refusal.version, now
        )

    def _request_if_outdated(
        self, sender: Address, routing: Routing, version: RoutingVersion, now: float
    ) -> list[Action]:
        """Request the service's objects from a host whose routing is newer."""
        if routing.version.covers(version):
            return []
        return list(self.distribution.request_now(sender, routing.view.service, now))

    def _find_voter(self, service: str, now: float) -> VoterRole | None:
        """Return the role of a voter, created at first use, or None without a view."""
        role = self._voters.get(service)
        if role is not None:
            return role
        view = self.catalogue.find_view(service)
        if view is None:
            return None
        role = VoterRole(service, self.config.ref)
        role.apply_view(view, now)
        self._voters[service] = role
        return role

    # --- configuration -------------------------------------------------------------

    def _handle_changes(
        self, sender: Address, changes: Changes, now: float
    ) -> list[Action]:
        applied = self.catalogue.apply_changes(changes)
        actions: list[Action] = []
        if changes.more and applied:
            actions += self.distribution.request_next_part(sender, changes.service)
        self.distribution.record_changes(sender, now)
        if not applied:
            return actions
        self._invalidate_routings({obj.kind for obj in applied}, applied)
        for obj in applied:
            if obj.kind == "View":
                self._apply_view(obj.name, now)
        return actions + self.distribution.push_changes(now)

    def _invalidate_routings(
        self, kinds: set[str], applied: list[ConfigObject]
    ) -> None:
        if kinds & {"DataCentre", "Service"}:
            self._routings.clear()
            return
        for obj in applied:
            if obj.kind == "View":
                self._routings.pop(compute_service_number(obj.name), None)

    def _apply_view(self, service: str, now: float) -> None:
        view = self.catalogue.find_view(service)
        if view is None:
            return
        is_listed = any(
            voter.ref == self.config.ref
            for voter_set in view.voter_sets
            for voter in voter_set.voters
        )
        role = self._voters.get(service)
        if role is None and is_listed:
            role = self._voters[service] = VoterRole(service, self.config.ref)
        if role is not None:
            role.apply_view(view, now)


__all__ = ["BalancerDecisions"]
