"""Requests that wait until an engine holds the weights they need."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from kestreltally.fleet.model import Seconds, WeightsKey


class WeightsWaiters:
    """Wakes requests when some weights have come."""

    def __init__(self) -> None:
        self._waiting: dict[WeightsKey, set[asyncio.Future[None]]] = defaultdict(set)

    async def wait(self, key: WeightsKey, timeout: Seconds) -> bool:
        """Wait until some weights have come; tell whether they did in time."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[key].add(future)
        try:
            async with asyncio.timeout(timeout):
                await future
        except TimeoutError:
            return False
        finally:
            waiting = self._waiting[key]
            waiting.discard(future)
            if not waiting:
                del self._waiting[key]
        return True

    def wake(self, keys: Iterable[WeightsKey]) -> None:
        """Wake the requests that wait for any of some weights."""
        for key in keys:
            for future in self._waiting.get(key, ()):
                if not future.done():
                    future.set_result(None)
