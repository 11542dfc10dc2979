"""Counts and reports how fast services burn their error budgets."""

from __future__ import annotations

from .burn import BurnPage, BurnSlot, HostLoad, ServiceBurn
from .record import BurnRecord
from .schema import build_page_document, parse_page

__all__ = [
    "BurnPage",
    "BurnRecord",
    "BurnSlot",
    "HostLoad",
    "ServiceBurn",
    "build_page_document",
    "parse_page",
]
