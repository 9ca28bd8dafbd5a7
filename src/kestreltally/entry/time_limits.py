"""Time limits of the requests that are served, which a planned stop brings forward."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from kestreltally.fleet.model import Seconds


class TimeLimits:
    """Limits how long requests are served: each by its deadline, all by the stop."""

    def __init__(self) -> None:
        self._active: set[asyncio.Timeout] = set()
        self._end: Seconds = math.inf

    @property
    def is_over(self) -> bool:
        """Return whether nothing is served any more."""
        return asyncio.get_running_loop().time() >= self._end

    def end_by(self, end: Seconds) -> None:
        """End all requests by a time, present and later ones."""
        self._end = end
        for timeout in self._active:
            due = timeout.when()
            if not timeout.expired() and (due is None or due > end):
                timeout.reschedule(end)

    @asynccontextmanager
    async def limit(self, deadline: Seconds) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in what runs beyond the deadline or the end."""
        async with asyncio.timeout_at(min(deadline, self._end)) as timeout:
            self._active.add(timeout)
            try:
                yield
            finally:
                self._active.discard(timeout)
