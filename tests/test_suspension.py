"""Tests that leases and other state expire while the machine is suspended.

The monotonic clock does not count a suspension. With it, a leader that was suspended
for 8 s gave orders under a lease that another had taken, for the time that was left
before the suspension; requests with a key revoked meanwhile ran for as long.
"""

import asyncio
import time
from collections.abc import Callable

import pytest

from kestreltally.eventloop import run_with_suspensions
from kestreltally.knowledge.authority import Authority
from tests.test_lease import FakeStore, make_candidate, wait_until_ordering

SUSPENSION = 8.0


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return a function that simulates a suspension in the system's clocks."""
    real = time.clock_gettime
    suspended_for = [0.0]

    def read(clock: int) -> float:
        return real(clock) + (suspended_for[0] if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend_machine() -> None:
        suspended_for[0] += SUSPENSION

    monkeypatch.setattr(time, "clock_gettime", read)
    return suspend_machine


def test_lease_expires_during_suspension(
    suspend: Callable[[], None],
) -> None:
    async def run_scenario() -> None:
        holder = make_candidate(FakeStore(), "a")
        holder.start()
        await wait_until_ordering(holder, 2.0)
        suspend()
        assert not holder.lease.can_order()
        holder.kill()

    run_with_suspensions(run_scenario())


def test_configuration_age_includes_suspension(
    suspend: Callable[[], None],
) -> None:
    async def run_scenario() -> None:
        clock = asyncio.get_running_loop().time
        authority = Authority(5.0, clock)
        authority.record(clock())
        assert authority.is_valid
        suspend()
        assert not authority.is_valid and authority.compute_age() >= SUSPENSION

    run_with_suspensions(run_scenario())


def test_request_deadline_includes_suspension(
    suspend: Callable[[], None],
) -> None:
    async def run_scenario() -> None:
        loop = asyncio.get_running_loop()
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout_at(loop.time() + 5.0):
                loop.call_later(0.05, suspend)
                while True:
                    await asyncio.sleep(0.02)
        assert time.monotonic() - started_at < 1.0

    run_with_suspensions(run_scenario())


def test_daemons_use_boot_time_clock() -> None:
    async def read() -> float:
        return asyncio.get_running_loop().time() - time.clock_gettime(
            time.CLOCK_BOOTTIME
        )

    assert abs(run_with_suspensions(read())) < 0.1
