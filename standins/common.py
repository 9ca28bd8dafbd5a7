"""Command line, HTTP server and fault injection shared by all stand-ins."""

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable
from typing import Any

import click
from aiohttp import web

LOG = logging.getLogger("standins")


class Faults:
    """Injected faults, set by name over HTTP."""

    def __init__(self, **defaults: Any) -> None:
        self._values = dict(defaults)

    def get(self, name: str) -> Any:
        """Return the current value of a fault."""
        return self._values[name]

    def set(self, **requested: Any) -> None:
        """Set faults by name."""
        self._values.update(requested)

    async def show(self, http: web.Request) -> web.Response:
        """Serve the values of all faults."""
        return web.json_response(self._values)

    async def change(self, http: web.Request) -> web.Response:
        """Set the faults in the body; an unknown name gives status 400."""
        requested = await http.json()
        unknown = set(requested) - set(self._values)
        if unknown:
            known = ", ".join(sorted(self._values))
            text = f"unknown fault {sorted(unknown)}; there are: {known}"
            return web.json_response({"error": text}, status=400)
        self._values.update(requested)
        return web.json_response(self._values)

    def add_routes(self, app: web.Application) -> None:
        """Serve the faults under ``/faults``."""
        app.router.add_get("/faults", self.show)
        app.router.add_post("/faults", self.change)


async def serve(app: web.Application, port: int) -> None:
    """Serve on the loopback interface until cancelled."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    await runner.cleanup()


def make_command(
    make_app: Callable[[dict[str, Any]], web.Application],
    help_text: str,
) -> click.Command:
    """Return the command of a stand-in, which takes a port and JSON options."""

    @click.command(help=help_text)
    @click.option("--port", type=int, required=True)
    @click.option("--options", default="{}", help="JSON.")
    def command(port: int, options: str) -> None:
        asyncio.run(serve(make_app(json.loads(options)), port))

    return command
