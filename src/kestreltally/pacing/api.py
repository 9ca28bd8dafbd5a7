"""Operators' HTTP API for turns: ``GET /turns`` lists the lines that a leader keeps."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Final

from aiohttp import web

from kestreltally.pacing.issuer import TurnIssuer

LIST_PATH: Final = "/turns"

Serve = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class TurnsApi:
    """Serves this path, and passes all others to a fallback."""

    def __init__(self, issuer: TurnIssuer, fallback: Serve) -> None:
        self._issuer = issuer
        self._fallback = fallback

    async def serve(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of an operator."""
        if http.path == LIST_PATH and http.method == "GET":
            return web.json_response(
                [asdict(each) for each in self._issuer.list_lines()]
            )
        return await self._fallback(http)
