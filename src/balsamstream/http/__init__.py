"""Small HTTP/1.1 client and server on asyncio, parsing with httptools."""

from __future__ import annotations
