"""Stand-in for the platform's VM list, which may be stale or incomplete."""

import time
from typing import Any

from aiohttp import web

from standins.common import Faults, make_command


class VmDirectory:
    """The VM list as it was ``lag`` seconds ago."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.faults = Faults(down=False, lag=options.get("lag", 0.0), hide=[])
        self._history: list[tuple[float, list[dict[str, Any]]]] = [
            (0.0, options.get("vms", []))
        ]

    async def show(self, http: web.Request) -> web.Response:
        """Serve the delayed list."""
        if self.faults.get("down"):
            return web.json_response({"error": "down"}, status=503)
        until = time.monotonic() - self.faults.get("lag")
        past = [vms for at, vms in self._history if at <= until]
        shown = past[-1] if past else self._history[0][1]
        hidden = set(self.faults.get("hide"))
        return web.json_response([vm for vm in shown if vm["vm"] not in hidden])

    async def change(self, http: web.Request) -> web.Response:
        """Replace the list."""
        self._history.append((time.monotonic(), await http.json()))
        return web.json_response({})


def make_app(options: dict[str, Any]) -> web.Application:
    """Return the stand-in's application."""
    directory = VmDirectory(options)
    app = web.Application()
    app.router.add_get("/vms", directory.show)
    app.router.add_put("/vms", directory.change)
    directory.faults.add_routes(app)
    return app


if __name__ == "__main__":
    make_command(make_app, "Stand-in for the VM list.")()
