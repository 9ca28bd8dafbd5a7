"""Odd answers of an endpoint.

They are false promises, rejections that come twice, and answers with a broken head.
"""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Final

from aiohttp import web

from standins.broken_heads import draw_broken_answer

# Statuses that promise that a request has not run.
PROMISES: Final = (408, 421, 429, 503)
# Delays after which a rejection is sent again, seconds.
REPEAT_DELAYS: Final = (0.001, 0.02, 0.06, 0.2)
# How long a request that was rejected works when it comes again, seconds.
WORK_TIME: Final = 0.1


@dataclass
class OddAnswers:
    """Decides which answers are odd: fractions of the requests, 0 if none is."""

    # Runs that are answered with a promise all the same.
    false_fraction: float = 0.0
    # Requests that are rejected once, with the rejection sent twice.
    repeated_fraction: float = 0.0
    # Runs that are answered with a head that is none.
    broken_fraction: float = 0.0
    draw: random.Random = field(default_factory=random.Random)
    _rejected: set[str] = field(default_factory=set)

    def draw_status(self) -> int | None:
        """Return the status that a run is answered with, None for its own answer."""
        if random.random() >= self.false_fraction:
            return None
        return random.choice(PROMISES)

    def rejects_twice(self, request_id: str) -> bool:
        """Return whether a request is rejected now; it runs if it comes again."""
        if request_id in self._rejected or random.random() >= self.repeated_fraction:
            return False
        self._rejected.add(request_id)
        return True

    def breaks_head(self) -> bool:
        """Return whether a run is answered with a broken head."""
        return self.draw.random() < self.broken_fraction

    def send_broken(self, http: web.Request) -> web.Response:
        """Send an answer with a broken head, and close the connection."""
        if http.transport is not None:
            request_id = http.headers.get("X-Request-Id", "")
            http.transport.write(draw_broken_answer(self.draw, request_id))
            http.transport.close()
        # The server asks for an answer, which it can't send any more.
        return web.Response()

    async def work(self, request_id: str) -> None:
        """Work for a while on a request that was rejected before."""
        if request_id in self._rejected:
            await asyncio.sleep(WORK_TIME)

    def send_again(self, http: web.Request) -> None:
        """Send a copy of a rejection over its connection after a delay."""
        transport = http.transport
        if transport is None:
            return
        request_id = http.headers.get("X-Request-Id", "")
        copy = (
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        )
        delay = random.choice(REPEAT_DELAYS)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, transport.write, copy.encode())
