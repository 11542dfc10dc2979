"""Hypothesis strategies for messages between the daemons."""

from __future__ import annotations

from hypothesis import strategies as st

from balsamstream.core.identity import Address, FlowKey, ProcessRef, RequestKey
from balsamstream.core.message import (
    Answer,
    Changes,
    ChangesRequest,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    ConfigObject,
    HeldFlow,
    HeldFlowsReply,
    HeldFlowsRequest,
    HolderReply,
    HolderRequest,
    LoadReport,
    Packet,
    PacketFlag,
    Ping,
    Pong,
    Refusal,
    RequestKind,
    SealReply,
    SealRequest,
    TakeoverPart,
    TakeoverRequest,
)
from balsamstream.core.routing import RoutingVersion
from balsamstream.core.verdict import MayHaveRun, NotRun

UINT16 = st.integers(0, 2**16 - 1)
UINT32 = st.integers(0, 2**32 - 1)
UINT31 = st.integers(0, 2**31 - 1)
UINT63 = st.integers(0, 2**63 - 1)
UINT64 = st.integers(0, 2**64 - 1)
NAMES = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
ADDRESSES = st.builds(Address, st.ip_addresses(v=4).map(str), UINT16)
REFS = st.builds(ProcessRef, NAMES, st.integers(-1, 2**63 - 1))
VERSIONS = st.builds(RoutingVersion, UINT32, UINT63)
FLOWS = UINT64.map(FlowKey)
REQUESTS = UINT64.map(RequestKey)
AFTERS = st.integers(-1, 2**64 - 1)
SECONDS = st.floats(0, 1e6)
PAYLOADS = st.binary(max_size=200)

VERDICTS = st.one_of(
    st.builds(NotRun, SECONDS, st.text("abc-", max_size=20)),
    st.builds(MayHaveRun, st.text("abc-", max_size=20)),
)
SPECS = st.none() | st.dictionaries(NAMES, st.integers() | NAMES | st.booleans())
OBJECTS = st.builds(ConfigObject, NAMES, NAMES, UINT63, SPECS)

MESSAGES = st.one_of(
    st.builds(
        Packet,
        UINT64,
        FLOWS,
        ADDRESSES,
        ADDRESSES,
        VERSIONS,
        st.sampled_from(RequestKind),
        REQUESTS,
        UINT32,
        PAYLOADS,
        st.integers(0, 255),
        st.integers(0, 3).map(PacketFlag),
    ),
    st.builds(Answer, UINT64, FLOWS, ADDRESSES, VERSIONS, PAYLOADS),
    st.builds(Refusal, UINT64, FLOWS, ADDRESSES, VERSIONS, VERDICTS, PAYLOADS),
    st.builds(HeldFlowsRequest, NAMES, VERSIONS, REFS, AFTERS),
    st.builds(
        HeldFlowsReply,
        NAMES,
        VERSIONS,
        REFS,
        AFTERS,
        st.booleans(),
        st.lists(FLOWS, max_size=9).map(tuple),
    ),
    st.builds(TakeoverRequest, NAMES, REFS, AFTERS),
    st.builds(
        TakeoverPart,
        NAMES,
        REFS,
        AFTERS,
        UINT31,
        SECONDS,
        st.lists(st.builds(HeldFlow, FLOWS, ADDRESSES, ADDRESSES)).map(tuple),
    ),
    st.builds(HolderRequest, NAMES, FLOWS),
    st.builds(HolderReply, NAMES, FLOWS, REFS, st.none() | NAMES),
    st.builds(LoadReport, NAMES, NAMES, UINT31, UINT31, UINT31, UINT31),
    st.builds(Ping, UINT64),
    st.builds(Pong, UINT64, REFS),
    st.builds(ClaimRequest, NAMES, UINT63, REQUESTS, REFS),
    st.builds(
        ClaimReply,
        NAMES,
        UINT63,
        REQUESTS,
        REFS,
        REFS,
        st.sampled_from(ClaimOutcome),
        REFS,
    ),
    st.builds(SealRequest, NAMES, UINT63, REFS, UINT31),
    st.builds(
        SealReply,
        NAMES,
        UINT63,
        REFS,
        UINT63,
        UINT31,
        UINT31,
        st.lists(st.tuples(REQUESTS, REFS), max_size=5).map(tuple),
    ),
    st.builds(ChangesRequest, UINT63, NAMES),
    st.builds(
        Changes,
        UINT63,
        UINT63,
        st.booleans(),
        st.booleans(),
        st.lists(OBJECTS, max_size=4).map(tuple),
        NAMES,
    ),
)
