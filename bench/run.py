"""Runs the measurements and prints one line of JSON for each."""

from __future__ import annotations

import argparse
import json
import sys
import time
from typing import TYPE_CHECKING, Any, Final

from . import (
    bound,
    broken,
    cold,
    control,
    flow_path,
    imbalance,
    outage,
    overload,
    packets,
    settings,
    spread,
    start,
    whole,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CASES: Final[dict[str, Callable[[int], Iterator[dict[str, Any]]]]] = {
    "imbalance": imbalance.measure,
    "bound": bound.measure,
    "broken": broken.measure,
    "cold": cold.measure,
    "outage": outage.measure,
    "overload": overload.measure,
    "packets": packets.measure,
    "whole": whole.measure,
    "flow_path": flow_path.measure,
    "start": start.measure,
    "control": control.measure,
    "spread": spread.measure,
    "settings": settings.measure,
}


def run(arguments: list[str]) -> int:
    """Run the selected cases, all by default."""
    parser = argparse.ArgumentParser(prog="python -m bench.run")
    parser.add_argument("--case", choices=sorted(CASES), action="append")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for name in options.case or CASES:
        started_at = time.monotonic()
        for line in CASES[name](options.seed):
            line["seed"] = options.seed
            line["took_s"] = round(time.monotonic() - started_at, 1)
            print(json.dumps(line), flush=True)
            started_at = time.monotonic()
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))

__all__ = ["CASES", "run"]
