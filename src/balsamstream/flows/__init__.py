"""Packet-path decisions of fronts and gates, without sockets or clocks.

The `balsamstream.node` package runs them: it passes in packets, messages and the time.
"""

from __future__ import annotations
