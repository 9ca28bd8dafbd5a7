"""Stand-in for the weight store, limited in loads per second and parallel loads."""

import asyncio
import time
from typing import Any

from aiohttp import web

from standins.common import Faults, make_command


class WeightStore:
    """Serves adapter weights; more than ``at_once`` parallel loads slow each other."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.faults = Faults(down=False, slow=1.0)
        self._rate = options.get("loads_per_second", 9.0)
        self._full_speed_loads = options.get("at_once", 4)
        self._running = 0
        self._free_at = 0.0
        self.served = 0
        self.peak_concurrency = 0

    async def fetch(self, http: web.Request) -> web.Response:
        """Serve the weights of one adapter after the simulated load time."""
        if self.faults.get("down"):
            return web.json_response({"error": "down"}, status=503)
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + 1.0 / self._rate
        queue = self._free_at - now - 1.0 / self._rate
        self._running += 1
        self.peak_concurrency = max(self.peak_concurrency, self._running)
        try:
            slowdown = max(1.0, self._running / self._full_speed_loads)
            duration = (
                self._full_speed_loads / self._rate * slowdown * self.faults.get("slow")
            )
            await asyncio.sleep(max(queue, duration))
        finally:
            self._running -= 1
        self.served += 1
        return web.json_response({"adapter": http.query["adapter"]})

    async def show_counts(self, http: web.Request) -> web.Response:
        """Serve the number of loads and the highest number in parallel."""
        return web.json_response(
            {"served": self.served, "most_at_once": self.peak_concurrency}
        )


def make_app(options: dict[str, Any]) -> web.Application:
    """Return the stand-in's application."""
    store = WeightStore(options)
    app = web.Application()
    app.router.add_get("/weights", store.fetch)
    app.router.add_get("/counts", store.show_counts)
    store.faults.add_routes(app)
    return app


if __name__ == "__main__":
    make_command(make_app, "Stand-in for the weight store.")()
