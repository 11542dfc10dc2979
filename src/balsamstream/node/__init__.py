"""Node processes (front and gate): the sockets, timers and tasks around `flows`."""

from __future__ import annotations
