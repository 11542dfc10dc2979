"""The guards of the protocol, and the source changes that remove each one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

CLAIM: Final = "balsamstream.core.claim"
AT_MOST_ONCE: Final = "balsamstream.core.at_most_once"
OWNERSHIP: Final = "balsamstream.core.ownership"
CATALOGUE: Final = "balsamstream.core.catalogue"
AGENT: Final = "balsamstream.core.agent"
VIEW: Final = "balsamstream.core.view"
REFUSAL: Final = "balsamstream.core.refusal"
GATE: Final = "balsamstream.flows.gate"
OLDER: Final = "balsamstream.flows.older_flows"
LATER_PACKETS: Final = "balsamstream.flows.later_packets"

TWO_COPIES: Final = "claims: two copies"
HOST_REFUSES: Final = "claims: a copy and a refusal"
VOTER_RESTARTS: Final = "claims: a voter restarts"
VOTER_DRAINS: Final = "claims: a voter drains, two copies"
WINNER_ASLEEP: Final = "claims: a voter drains, the winner asleep"
TWO_VOTERS_DRAIN: Final = "claims: two voters drain"
BALANCER_REFUSES: Final = "claims: a copy and a balancer's refusal"
CONFIGURATION: Final = "configuration: writes, lists, watches and peers"
HOST_JOINS: Final = "flows: a host joins"
LATE_PACKETS: Final = "flows: a host joins, both packets late"
OWNER_DRAINS: Final = "flows: the owner drains"
OLDER_FLOWS: Final = "older flows: a gate restarts beside a host"


class GuardNotFoundError(LookupError):
    """The text of a guard is missing from its module or occurs more than once."""


@dataclass(frozen=True)
class Guard:
    """A check in the protocol whose removal a model or test must detect.

    Parameters
    ----------
    module : str
        Module that contains the guard.
    text, replacement : str
        Source of the guard, which occurs once, and the source that replaces it.
    model : str
        Model that must find a violation without the guard.
    second, second_replacement : str
        The same for a guard with a second, redundant check: either one suffices, so
        both are removed.
    test : str
        A test that must fail without the guard, for a violation deeper than the model
        can be searched; empty for none.
    """

    name: str
    module: str
    text: str
    replacement: str
    model: str
    second: str = ""
    second_replacement: str = ""
    test: str = ""

    def remove(self, source: str) -> str:
        """Return the source of a module without the guard.

        Raises
        ------
        GuardNotFoundError
            If the text of the guard does not occur exactly once in the source.
        """
        for text, replacement in self.list_texts():
            if source.count(text) != 1:
                raise GuardNotFoundError(
                    f"guard {self.name!r} is not exactly once in {self.module}: {text}"
                )
            source = source.replace(text, replacement)
        return source

    def list_texts(self) -> list[tuple[str, str]]:
        """Return each text of the guard and its replacement."""
        pairs = [(self.text, self.replacement), (self.second, self.second_replacement)]
        return [pair for pair in pairs if pair[0]]


GUARDS: Final = (
    Guard(
        "majority of voters",
        VIEW,
        "return len(self.voters) // 2 + 1",
        "return 1",
        TWO_COPIES,
    ),
    Guard(
        "first claimant is kept",
        CLAIM,
        "        if known is None:\n            if len(",
        "        if True:\n            if len(",
        TWO_COPIES,
    ),
    Guard(
        "refusal is a claim",
        AT_MOST_ONCE,
        "        record = _Record(packet, Stage.CLAIMING, now, now)\n",
        "        record = _Record(packet, Stage.CLAIMING, now, now)\n"
        "        if not admitted:\n"
        "            self._records[packet.request] = record\n"
        '            return self._mark_refused(record, "")\n',
        HOST_REFUSES,
    ),
    Guard(
        "balancer refuses after a majority only",
        REFUSAL,
        "            case Refused():\n",
        "            case _ if True:\n",
        BALANCER_REFUSES,
    ),
    Guard(
        "claim given up never runs",
        AT_MOST_ONCE,
        'actions += self._mark_unknown(record, "no majority of voters")',
        'actions += self._mark_refused(record, "")\n'
        "                self._claiming[record.packet.request] = record\n"
        "                record.round = ClaimRound(\n"
        "                    self._state.config.service, record.packet.request,\n"
        "                    self._state.config.ref, \n"
        "                    self._state.routing.view.voter_sets[-1])",
        TWO_COPIES,
    ),
    Guard(
        "incarnations of voters, at the claimant and at the voter",
        CLAIM,
        "listed = any(voter.ref == reply.voter for voter in self.voters.voters)",
        "listed = True",
        VOTER_RESTARTS,
        "return any(voter.ref == self.ref for voter in voter_set.voters)",
        "return any(v.ref.name == self.ref.name for v in voter_set.voters)",
    ),
    Guard(
        "voter seals earlier epochs",
        CLAIM,
        "        if message.epoch < self.sealed_below or message.epoch != newest:\n",
        "        if False:\n",
        VOTER_DRAINS,
    ),
    Guard(
        "epoch of a vote",
        CLAIM,
        "if not listed or reply.epoch != self.voters.epoch:",
        "if not listed:",
        WINNER_ASLEEP,
        test="tests/core/test_claim.py::test_vote_of_another_epoch_does_not_count",
    ),
    Guard(
        "activation waits for seals",
        CLAIM,
        "            if not self._is_sealed(earlier):\n                return\n",
        "            pass\n",
        VOTER_DRAINS,
    ),
    Guard(
        "majority of each earlier set seals",
        CLAIM,
        "return sealed >= earlier.majority",
        "return sealed >= 1",
        WINNER_ASLEEP,
        test="tests/core/test_claim.py::"
        "test_voter_grants_only_once_a_majority_of_each_earlier_set_has_sealed",
    ),
    Guard(
        "claims are handed over",
        CLAIM,
        "            self._merge(request, holder, now)\n",
        "            pass\n",
        VOTER_DRAINS,
    ),
    Guard(
        "trim waits for activation",
        CLAIM,
        "        if self.active_epoch != newest.epoch:\n            return None\n"
        "        active = {self.ref}",
        "        active = {v.ref for v in newest.voters}",
        TWO_VOTERS_DRAIN,
    ),
    Guard(
        "version compare",
        CATALOGUE,
        "if known is not None and known.version >= obj.version:",
        "if False:",
        CONFIGURATION,
    ),
    Guard(
        "no unknown object below the complete version",
        CATALOGUE,
        "if known is None and obj.version <= self.complete_to:",
        "if False:",
        CONFIGURATION,
    ),
    Guard(
        "whole answer after a list",
        CATALOGUE,
        "and message.have < self._list_version:",
        "and False:",
        CONFIGURATION,
    ),
    Guard(
        "gap check of changes",
        CATALOGUE,
        "(changes.full or changes.since <= self.complete_to)",
        "True",
        CONFIGURATION,
    ),
    Guard(
        "service check at the agent",
        AGENT,
        "if packet.service != state.service_number:",
        "if False:",
        OWNER_DRAINS,
    ),
    Guard(
        "reports before new flows",
        OWNERSHIP,
        "if acting or not self.is_synced or packet.flow in self._queries:",
        "if acting:",
        HOST_JOINS,
    ),
    Guard(
        "report waits for the routing",
        OWNERSHIP,
        "        if not state.routing.version.covers(message.version):\n"
        "            return None\n",
        "",
        LATE_PACKETS,
    ),
    Guard(
        "reply of a member whose report is pending",
        OWNERSHIP,
        "if reply.member in self._pending_reports:",
        "if False:",
        HOST_JOINS,
    ),
    Guard(
        "late placement goes to the owner",
        OWNERSHIP,
        "return not packet.version.covers(self._state.routing.version)",
        "return False",
        HOST_JOINS,
    ),
    Guard(
        "packets that wait for a holder stay together",
        OWNERSHIP,
        "            if flow in self._state.flows:\n"
        "                placements.append(Placement(packet, Disposition.ACCEPT))\n"
        "                continue\n",
        "",
        OWNER_DRAINS,
        "or packet.flow in self._queries:",
        ":",
        test="tests/core/test_placement.py::"
        "test_packets_that_waited_for_a_holder_follow_one_that_did_not",
    ),
    Guard(
        "hop limit",
        AGENT,
        "if packet.hops >= MAX_HOPS:",
        "if False:",
        OWNER_DRAINS,
        test="tests/core/test_hops.py::test_packet_at_the_limit_is_refused_as_not_run",
    ),
    Guard(
        "a gate that has started is in doubt",
        OLDER,
        "return not self._probes.has_seen_all_flows or flow in self._unsettled",
        "return flow in self._unsettled",
        OLDER_FLOWS,
    ),
    Guard(
        "a heartbeat proves nothing of flows",
        GATE,
        "        flows = len(self._flows)\n        if before:\n",
        "        flows = len(self._flows)\n        if heartbeat.sequence <= 1:\n"
        '            self._older_flows.record_all_seen("")\n        if before:\n',
        OLDER_FLOWS,
    ),
    Guard(
        "a last message proves nothing of flows",
        GATE,
        "        if self.state is not before:\n"
        '            self._handle_state_change("host left", now)',
        '        self._older_flows.record_all_seen("")',
        OLDER_FLOWS,
    ),
    Guard(
        "flows are in doubt after a start of the host",
        GATE,
        "        self._older_flows.add_unsettled(self._flows.list_keys(), now)\n",
        "",
        OLDER_FLOWS,
    ),
    Guard(
        "flows stay in doubt over several starts",
        OLDER,
        "self._unsettled.update(dict.fromkeys(flows, now))",
        "self._unsettled = dict.fromkeys(flows, now)",
        OLDER_FLOWS,
    ),
    Guard(
        "a late copy of an opening is no new flow",
        LATER_PACKETS,
        "if entry.host_next_seq is None and self._older_flows.may_include(flow):",
        "if False:",
        OLDER_FLOWS,
    ),
)

__all__ = ["GUARDS", "Guard", "GuardNotFoundError"]
