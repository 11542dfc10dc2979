"""Simulated callers of all services, many in one process.

``python -m standins.caller --comptoir 127.0.0.1:5683 --boards 40 --baskets 10``
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path  # noqa: TC003 - read by cyclopts when the program runs
from typing import Annotated, Final

from cyclopts import App, Parameter

from .addresses import parse_address
from .boards import Board
from .downloads import Guide, Sheet
from .events import RecordFile
from .exchange import Timing
from .fittings import Fitting
from .orders import Basket
from .routine import Pace, Routine
from .serving import print_ready, wait_for_stop

SEED_STRIDE: Final = 100_003
STOP_GRACE_S: Final = 4.0

app = App(name="caller", help=__doc__)


@dataclass(frozen=True, slots=True)
class Services:
    """Virtual addresses of the services.

    Attributes
    ----------
    comptoir : str
        Service of stock boards and basket orders.
    etiquettes : str
        Service of label sheets.
    fitter : str
        Service of size requests.
    guides : str
        Service of fitting guides.
    """

    comptoir: str = ""
    etiquettes: str = ""
    fitter: str = ""
    guides: str = ""


@dataclass(frozen=True, slots=True)
class CallerCounts:
    """Number of callers of each kind.

    Attributes
    ----------
    boards : int
        Shop tablets that observe a live stock board.
    baskets : int
        Shop tablets that send basket orders.
    sheets : int
        Shop tablets that download label sheets.
    fits : int
        Bike shops in a fitting session.
    guides_readers : int
        Bike shops that download guides.
    """

    boards: int = 0
    baskets: int = 0
    sheets: int = 0
    fits: int = 0
    guides_readers: int = 0


def build_routines(
    services: Services,
    counts: CallerCounts,
    timing: Timing,
    pace: Pace,
    record: RecordFile,
    seed: int,
    prefix: str,
) -> list[Routine]:
    """Build all callers without starting them."""
    wanted: list[tuple[type[Routine], str, int]] = [
        (Board, services.comptoir, counts.boards),
        (Basket, services.comptoir, counts.baskets),
        (Sheet, services.etiquettes, counts.sheets),
        (Fitting, services.fitter, counts.fits),
        (Guide, services.guides, counts.guides_readers),
    ]
    routines: list[Routine] = []
    for routine_type, service, count in wanted:
        for number in range(count):
            name = f"{prefix}{routine_type.kind}-{number}"
            routine_seed = seed * SEED_STRIDE + len(routines)
            address = parse_address(service)
            routines.append(
                routine_type(name, address, timing, pace, record, routine_seed)
            )
    return routines


async def run_routines(routines: list[Routine]) -> None:
    """Run all callers until SIGTERM; each may then finish its request.

    Callers that have not finished after `STOP_GRACE_S` are cancelled.
    """
    for routine in routines:
        await routine.start()
    tasks = [asyncio.create_task(routine.run()) for routine in routines]
    print_ready(str(len(routines)))
    await wait_for_stop()
    for routine in routines:
        routine.stopping.set()
    _, unfinished = await asyncio.wait(tasks, timeout=STOP_GRACE_S)
    for task in unfinished:
        task.cancel()
    await asyncio.gather(*unfinished, return_exceptions=True)
    for routine in routines:
        routine.close()
    for task in tasks:
        if not task.cancelled():
            task.result()


@app.default
def main(
    *,
    services: Annotated[Services, Parameter(name="*")] = Services(),
    counts: Annotated[CallerCounts, Parameter(name="*")] = CallerCounts(),
    timing: Annotated[Timing, Parameter(name="*")] = Timing(),  # noqa: B008
    pace: Annotated[Pace, Parameter(name="*")] = Pace(),  # noqa: B008
    record: Path | None = None,
    seed: int = 0,
    prefix: str = "",
) -> None:
    """Run callers until SIGTERM.

    Parameters
    ----------
    services : Services
        Virtual addresses of the services.
    counts : CallerCounts
        Number of callers of each kind.
    timing : Timing
        Transmission parameters of CoAP.
    pace : Pace
        Pauses between requests and the timeout of boards.
    record : Path
        File that the callers' events are written to, as JSON lines.
    seed : int
        Seed of all random choices.
    prefix : str
        Prefix of the callers' names.
    """
    record_file = RecordFile(record)
    asyncio.run(_run(services, counts, timing, pace, record_file, seed, prefix))
    record_file.close()


async def _run(
    services: Services,
    counts: CallerCounts,
    timing: Timing,
    pace: Pace,
    record: RecordFile,
    seed: int,
    prefix: str,
) -> None:
    routines = build_routines(services, counts, timing, pace, record, seed, prefix)
    await run_routines(routines)


if __name__ == "__main__":
    app()

__all__ = ["CallerCounts", "Services", "build_routines", "run_routines"]
