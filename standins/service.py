"""Stand-in for a plain service that counts the runs of each request id."""

import asyncio
from collections import Counter
from typing import Any

from aiohttp import web

from standins.common import Faults, make_command


class Service:
    """A service that answers with the path, method and size of the request."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.faults = Faults(
            hang=False, leaving=False, refuse=False, cut=False, slow=0.0
        )
        self._name = options.get("name", "service")
        self.runs: Counter[str] = Counter()

    async def report(self, http: web.Request) -> web.Response:
        """Serve the instance name and whether it is leaving."""
        while self.faults.get("hang"):
            await asyncio.sleep(0.05)
        leaving = self.faults.get("leaving")
        return web.json_response({"instance": self._name, "leaving": leaving})

    async def run(self, http: web.Request) -> web.StreamResponse:
        """Run one call."""
        while self.faults.get("hang"):
            await asyncio.sleep(0.05)
        if self.faults.get("leaving") or self.faults.get("refuse"):
            reason = "leaving" if self.faults.get("leaving") else "refused"
            return web.json_response(
                {"reason": reason}, status=503, headers={"X-Not-Run": "1"}
            )
        attempt = http.headers.get("X-Attempt-Id", "")
        body = await http.read()
        self.runs[attempt.partition("/")[0]] += 1
        await asyncio.sleep(self.faults.get("slow"))
        if self.faults.get("cut") and http.transport is not None:
            http.transport.abort()
        return web.json_response(
            {"path": http.path, "method": http.method, "bytes": len(body)},
            headers={"X-Attempt-Id": attempt},
        )

    async def show_counts(self, http: web.Request) -> web.Response:
        """Serve the number of runs of each request id."""
        return web.json_response({"runs": dict(self.runs)})


def make_app(options: dict[str, Any]) -> web.Application:
    """Return the stand-in's application."""
    service = Service(options)
    app = web.Application()
    app.router.add_get("/report", service.report)
    app.router.add_get("/counts", service.show_counts)
    service.faults.add_routes(app)
    app.router.add_route("*", "/{path:.*}", service.run)
    return app


if __name__ == "__main__":
    make_command(make_app, "Stand-in for a plain service.")()
