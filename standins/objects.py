"""Stand-in for the platform's object API.

Implements versions, conditional updates, watches and rate limits. Faults: outages,
slow answers, and answers that are lost after the write has taken effect.
"""

import asyncio
import random
import time
from collections import Counter
from typing import Any

from aiohttp import web

from standins.common import Faults, make_command


class ObjectStore:
    """Objects by key, each with its version and the revision of its last write."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.faults = Faults(down=False, lose_answers=0.0, slow=0.0)
        self.calls: Counter[str] = Counter()
        self._random = random.Random(options.get("seed", 1))
        self._limits = {
            "writes": options.get("writes_per_second", 400),
            "reads": options.get("reads_per_second", 2000),
        }
        self._window: Counter[str] = Counter()
        self._window_at = 0
        self._objects: dict[str, dict[str, Any]] = {}
        self._revision = 0
        self._changed = asyncio.Condition()

    def _over_limit(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self._window_at:
            self._window_at = second
            self._window.clear()
        self._window[kind] += 1
        self.calls[kind] += 1
        over: bool = self._window[kind] > self._limits[kind]
        return over

    async def _refuse(self, kind: str) -> web.Response | None:
        if self.faults.get("slow"):
            await asyncio.sleep(self.faults.get("slow"))
        if self.faults.get("down"):
            return web.json_response({"error": "down"}, status=503)
        if self._over_limit(kind):
            return web.json_response({"error": "rate"}, status=429)
        return None

    def _lose_answer(self, http: web.Request) -> None:
        lost = self._random.random() < self.faults.get("lose_answers")
        if lost and http.transport is not None:
            http.transport.abort()

    def _get(self, key: str) -> dict[str, Any]:
        empty = {"key": key, "value": None, "version": 0, "revision": self._revision}
        return self._objects.get(key, empty)

    async def read(self, http: web.Request) -> web.Response:
        """Serve one object."""
        refused = await self._refuse("reads")
        return refused or web.json_response(self._get(http.query["key"]))

    async def list(self, http: web.Request) -> web.Response:
        """Serve all objects under a prefix."""
        refused = await self._refuse("reads")
        return refused or self._respond_listing(http.query["prefix"], 0)

    def _respond_listing(self, prefix: str, after: int) -> web.Response:
        found = [
            each
            for key, each in self._objects.items()
            if key.startswith(prefix) and each["revision"] > after
        ]
        return web.json_response({"revision": self._revision, "objects": found})

    async def write(self, http: web.Request) -> web.Response:
        """Write one object if it has the expected version."""
        refused = await self._refuse("writes")
        if refused is not None:
            return refused
        key = http.query["key"]
        body = await http.json()
        current = self._get(key)
        expected = http.query.get("expected")
        if expected is not None and int(expected) != current["version"]:
            return web.json_response(current, status=409)
        self._revision += 1
        stored = {
            "key": key,
            "value": body["value"],
            "version": self._revision,
            "revision": self._revision,
        }
        self._objects[key] = stored
        async with self._changed:
            self._changed.notify_all()
        self._lose_answer(http)
        return web.json_response(stored)

    async def delete(self, http: web.Request) -> web.Response:
        """Delete one object if it has the expected version."""
        refused = await self._refuse("writes")
        if refused is not None:
            return refused
        key = http.query["key"]
        if int(http.query["expected"]) != self._get(key)["version"]:
            return web.json_response(self._get(key), status=409)
        self._revision += 1
        self._objects.pop(key, None)
        self._lose_answer(http)
        return web.json_response(self._get(key))

    async def watch(self, http: web.Request) -> web.Response:
        """Wait for changes under a prefix after a revision, up to ``wait`` seconds."""
        refused = await self._refuse("reads")
        if refused is not None:
            return refused
        prefix, after = http.query["prefix"], int(http.query["after"])

        def has_changes() -> bool:
            return any(
                key.startswith(prefix) and each["revision"] > after
                for key, each in self._objects.items()
            )

        try:
            async with self._changed:
                await asyncio.wait_for(
                    self._changed.wait_for(has_changes),
                    float(http.query["wait"]),
                )
        except TimeoutError:
            pass
        if self.faults.get("down"):
            return web.json_response({"error": "down"}, status=503)
        return self._respond_listing(prefix, after)

    async def show_calls(self, http: web.Request) -> web.Response:
        """Serve the number of calls by kind."""
        return web.json_response(dict(self.calls))


def make_app(options: dict[str, Any]) -> web.Application:
    """Return the stand-in's application."""
    store = ObjectStore(options)
    app = web.Application()
    app.router.add_get("/object", store.read)
    app.router.add_put("/object", store.write)
    app.router.add_delete("/object", store.delete)
    app.router.add_get("/objects", store.list)
    app.router.add_get("/watch", store.watch)
    app.router.add_get("/calls", store.show_calls)
    store.faults.add_routes(app)
    return app


if __name__ == "__main__":
    make_command(make_app, "Stand-in for the object API.")()
