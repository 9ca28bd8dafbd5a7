"""Lets requests wait for an endpoint that can serve them: for weights or a credit."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from kestreltally.fleet.model import Seconds, ServiceName, WeightsKey

# What a request waits for: weights on an engine, or an endpoint of a plain service.
WaitTarget = WeightsKey | ServiceName

# The highest priority number of engines, which is the least urgent.
LOWEST_URGENCY: Final = 9


class Waiters:
    """Wakes requests when their wait target becomes available."""

    def __init__(self) -> None:
        # By target, in order of arrival: the urgency of each waiter, 0 the most urgent.
        self._waiting: dict[WaitTarget, dict[asyncio.Future[None], int]] = defaultdict(
            dict
        )

    async def wait(
        self, target: WaitTarget, timeout: Seconds, urgency: int = LOWEST_URGENCY
    ) -> bool:
        """Wait for a target; return whether it became available in time."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[target][future] = urgency
        try:
            async with asyncio.timeout(timeout):
                await future
        except TimeoutError:
            return False
        finally:
            waiting = self._waiting[target]
            del waiting[future]
            if not waiting:
                del self._waiting[target]
        return True

    def wake(self, available: Iterable[WaitTarget]) -> None:
        """Wake all requests that wait for any of the targets."""
        for each in available:
            for future in self._waiting.get(each, ()):
                if not future.done():
                    future.set_result(None)

    def wake_all(self) -> None:
        """Wake all requests, for all of them to look again."""
        self.wake(list(self._waiting))

    def wake_most_urgent(self, available: Iterable[WaitTarget]) -> None:
        """Wake the most urgent request that waits for any of the targets."""
        waiting = [
            (urgency, future)
            for each in available
            for future, urgency in self._waiting.get(each, {}).items()
            if not future.done()
        ]
        if waiting:
            min(waiting, key=lambda each: each[0])[1].set_result(None)
