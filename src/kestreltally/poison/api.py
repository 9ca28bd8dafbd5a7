"""Operators' HTTP API for requests that crash endpoints.

``GET /poison`` lists requests that were present at two or more crashes. ``POST
/poison/pardon`` with ``content`` in the query, as shown in logs, lets a request run
again at all daemons.
"""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Final

from aiohttp import web

from kestreltally.poison.register import PoisonRegister

LIST_PATH: Final = "/poison"
PARDON_PATH: Final = "/poison/pardon"
MIN_SHOWN_CRASHES: Final = 2

Serve = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class PoisonApi:
    """Serves these paths, and passes all others to a fallback."""

    def __init__(self, register: PoisonRegister, fallback: Serve) -> None:
        self._register = register
        self._fallback = fallback

    async def serve(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of an operator."""
        if http.path == LIST_PATH and http.method == "GET":
            listed = self._register.list_suspects(MIN_SHOWN_CRASHES)
            return web.json_response([asdict(each) for each in listed])
        if http.path == PARDON_PATH and http.method == "POST":
            return self._pardon(http.query.get("content", ""))
        return await self._fallback(http)

    def _pardon(self, content: str) -> web.Response:
        count = self._register.pardon(content)
        if not count:
            error = f"no request is suspected whose content is {content!r}"
            return web.json_response({"error": error}, status=404)
        return web.json_response({"pardoned": count})
