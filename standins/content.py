"""Contents derived from their identifiers, so that callers can verify answers."""

from __future__ import annotations

import hashlib
from typing import Final

COMPTOIR: Final = "comptoir"
ETIQUETTES: Final = "etiquettes"
FITTER: Final = "fitter"
GUIDES: Final = "guides"

SERVICE_OF_PATH: Final = {
    "stock": COMPTOIR,
    "basket": COMPTOIR,
    "sheet": ETIQUETTES,
    "fit": FITTER,
    "chart": FITTER,
    "guide": GUIDES,
}

BLOCK_SIZE_EXPONENT: Final = 5  # SZX of RFC 7959: blocks of 512 bytes
MIN_LINES: Final = 30
MAX_EXTRA_LINES: Final = 60
CM_PER_INCH: Final = 2.54
WHEEL_SIZES_INCH: Final = (12, 14, 16, 18, 20, 24, 26)


def build_document(path: str, identifier: str) -> bytes:
    """Build a label sheet or fitting guide of several kilobytes."""
    digest = hashlib.sha256(f"{path}/{identifier}".encode()).digest()
    count = MIN_LINES + digest[0] % MAX_EXTRA_LINES
    lines = [f"{path} {identifier}"]
    for number in range(count):
        line = hashlib.sha256(digest + number.to_bytes(2, "big")).hexdigest()
        lines.append(line)
    return "\n".join(lines).encode()


def compute_price(order: str) -> int:
    """Compute the price of an order, in hundredths."""
    digest = hashlib.sha256(order.encode()).digest()
    return 100 + int.from_bytes(digest[:2], "big") % 5_000


def choose_size(height_cm: int, inseam_cm: int) -> int:
    """Choose the wheel size, in inches, for a child's height and inseam."""
    wanted = (height_cm / 7 + inseam_cm / CM_PER_INCH) / 2
    return min(WHEEL_SIZES_INCH, key=lambda size: abs(size - wanted))


__all__ = [
    "BLOCK_SIZE_EXPONENT",
    "COMPTOIR",
    "ETIQUETTES",
    "FITTER",
    "GUIDES",
    "SERVICE_OF_PATH",
    "build_document",
    "choose_size",
    "compute_price",
]
