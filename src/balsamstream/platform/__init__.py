"""Adapter to the users' platform: its store, document formats and packet layout.

The package makes no load-balancing decisions. The platform's names and formats are used
in no other package.
"""

from __future__ import annotations
