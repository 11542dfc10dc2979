"""Services, tasks and mailboxes."""

from __future__ import annotations

import asyncio

import pytest

from balsamstream.kernel import Kernel, Mailbox, Service, ServiceMissing


class Recorder(Service):
    """Records its steps and may fail at one."""

    def __init__(self, name: str, events: list[str], fail_on: str = "") -> None:
        self._name = name
        self._events = events
        self._fail_on = fail_on

    async def start(self) -> None:
        """Record the start."""
        self._record("start")

    async def close(self) -> None:
        """Record the end."""
        self._record("close")

    def _record(self, step: str) -> None:
        self._events.append(f"{step} {self._name}")
        if self._fail_on == step:
            raise OSError(step)


class OtherService(Recorder):
    """A service of another type."""


def build_kernel(events: list[str], fail_on: str = "") -> Kernel:
    kernel = Kernel()
    kernel.add("one", Recorder("one", events))
    kernel.add("two", Recorder("two", events, fail_on))
    kernel.add("three", Recorder("three", events))
    return kernel


def test_services_start_in_order_and_close_in_reverse() -> None:
    async def run() -> None:
        kernel = build_kernel(events)
        await kernel.start()
        await kernel.close()
        await kernel.close()

    events: list[str] = []
    asyncio.run(run())
    started = ["start one", "start two", "start three"]
    assert events == [*started, "close three", "close two", "close one"]


def test_a_failed_start_closes_what_was_opened() -> None:
    async def run() -> None:
        kernel = build_kernel(events, "start")
        with pytest.raises(OSError, match="start"):
            await kernel.start()

    events: list[str] = []
    asyncio.run(run())
    assert events == ["start one", "start two", "close two", "close one"]


def test_a_failed_close_does_not_keep_others_open() -> None:
    async def run() -> Kernel:
        kernel = build_kernel(events, "close")
        await kernel.start()
        await kernel.close()
        return kernel

    events: list[str] = []
    kernel = asyncio.run(run())
    assert events[-1] == "close one"
    assert isinstance(kernel.failure, OSError)


def test_services_are_found_by_name_and_type() -> None:
    async def run() -> None:
        kernel = build_kernel([])
        assert isinstance(kernel.get("one", Recorder), Recorder)
        with pytest.raises(ServiceMissing):
            kernel.get("four", Recorder)
        with pytest.raises(ServiceMissing):
            kernel.get("one", OtherService)
        with pytest.raises(ValueError, match="one"):
            kernel.add("one", Recorder("one", []))

    asyncio.run(run())


def test_a_failed_task_ends_the_wait() -> None:
    async def fail() -> None:
        raise RuntimeError("broken")

    async def run() -> Kernel:
        kernel = Kernel()
        kernel.start_task("broken", fail())
        await asyncio.wait_for(kernel.wait(), 5)
        await kernel.close()
        return kernel

    assert isinstance(asyncio.run(run()).failure, RuntimeError)


def test_ended_tasks_are_no_failure() -> None:
    async def run() -> Kernel:
        kernel = Kernel()
        kernel.start_task("sleep", asyncio.sleep(60))
        with pytest.raises(ValueError, match="sleep"):
            kernel.start_task("sleep", asyncio.sleep(60))
        await asyncio.sleep(0)
        await kernel.end_task("sleep")
        kernel.start_task("short", asyncio.sleep(0))
        kernel.stop()
        await kernel.wait()
        await kernel.close()
        return kernel

    assert asyncio.run(run()).failure is None


def test_a_full_mailbox_refuses_and_counts() -> None:
    async def run() -> None:
        mailbox: Mailbox[int] = Mailbox(2)
        assert [mailbox.offer(number) for number in range(3)] == [True, True, False]
        assert (len(mailbox), mailbox.refused) == (2, 1)
        assert [await mailbox.pop(), await mailbox.pop()] == [0, 1]

    asyncio.run(run())


def test_a_put_waits_for_room() -> None:
    async def run() -> None:
        mailbox: Mailbox[int] = Mailbox(1)
        await mailbox.put(1)
        waiting = asyncio.create_task(mailbox.put(2))
        await asyncio.sleep(0)
        assert not waiting.done()
        assert await mailbox.pop() == 1
        await waiting
        assert await mailbox.pop() == 2

    asyncio.run(run())
