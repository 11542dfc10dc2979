"""Tests of the metrics and their transfer to statsd."""

from __future__ import annotations

import asyncio

from balsamstream.config import Address
from balsamstream.daemon.metrics import MAX_NAMES, OVERFLOW_NAME, Metrics
from balsamstream.daemon.settings import MetricsSettings
from balsamstream.kernel import Kernel
from tests.daemon.sockets import build_metrics, open_peer, receive


def test_counters_are_sent_to_statsd_once_as_a_sum() -> None:
    async def run() -> str:
        with open_peer() as statsd:
            settings = MetricsSettings(Address(*statsd.getsockname()), "prefix")
            metrics = Metrics(Kernel(), settings, "name")
            await metrics.start()
            for _ in range(5):
                metrics.count("packets", 2)
            metrics.set_gauge("flows", 3)
            datagram, _ = await receive(statsd)
            await metrics.close()
            assert metrics.counters == {"packets": 10}
            return datagram.decode()

    lines = asyncio.run(run()).splitlines()
    assert lines == ["prefix.name.packets:10|c", "prefix.name.flows:3|g"]


def test_number_of_names_is_limited() -> None:
    metrics = build_metrics()
    for number in range(MAX_NAMES + 50):
        metrics.count(f"name-{number}")
        metrics.set_gauge(f"name-{number}", 1.0)
    assert metrics.counters[OVERFLOW_NAME] == 50
    assert len(metrics.counters) == MAX_NAMES + 1
