"""The report on service-level burn."""

from __future__ import annotations

from .burn import BurnPage, BurnSlot, HostLoad, ServiceBurn
from .record import BurnRecord
from .schema import parse_page, write_page

__all__ = [
    "BurnPage",
    "BurnRecord",
    "BurnSlot",
    "HostLoad",
    "ServiceBurn",
    "parse_page",
    "write_page",
]
