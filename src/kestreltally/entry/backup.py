"""A second run of a request, beside a first one that has stalled.

After Dean and Barroso, "The tail at scale", CACM 2013 (hedged requests): the first run
is not given up for the second one before that has brought more.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web

Work = Callable[["Backup"], Coroutine[Any, Any, web.StreamResponse]]


class Backup:
    """A run that forwards nothing until it is the only run of its request."""

    def __init__(self, work: Work) -> None:
        loop = asyncio.get_running_loop()
        # Done once the run has brought something that the client lacks.
        self.ahead: asyncio.Future[None] = loop.create_future()
        self._leads: asyncio.Future[None] = loop.create_future()
        self.task = asyncio.create_task(work(self))

    @property
    def is_ahead(self) -> bool:
        """Return whether the run has brought something that the client lacks."""
        return self.ahead.done()

    @property
    def leads(self) -> bool:
        """Return whether the first run has ended, so that this one may forward."""
        return self._leads.done()

    async def claim(self) -> None:
        """Wait, before anything is forwarded, until the first run has ended."""
        if not self.ahead.done():
            self.ahead.set_result(None)
        await asyncio.shield(self._leads)

    async def take_over(self) -> web.StreamResponse:
        """Let the run forward its answer, and return that when it is complete.

        The first run must have ended. Raises what the run raises.
        """
        self._leads.set_result(None)
        return await self.task

    async def cancel(self) -> None:
        """End the run; its endpoint is told by the close of its channel."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
