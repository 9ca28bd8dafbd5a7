"""Stand-in for the store of the users' platform: objects by kind, and watches.

It has one revision counter, conditional writes, paged listings, watches that wait, and
a history that can be compacted. Faults: down, slow, answers lost after the write. It
can be restored from a backup that is some seconds old: later writes are lost, their
revisions are assigned again, and the era in all answers rises by one.
"""

import asyncio
import copy
import json
import random
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from standins.common import Faults, make_command

PAGE = 500
# In the place of this value, answers have arrays that are nested too deeply to decode.
NESTED_VALUE = "@nested"
_NESTED = "[" * 1_500 + "]" * 1_500


def encode(content: Any) -> str:
    """Return the text of an answer's body."""
    return json.dumps(content).replace(json.dumps(NESTED_VALUE), _NESTED)


@dataclass(frozen=True)
class Event:
    """A change or deletion of an object."""

    kind: str
    item: dict[str, Any]
    deleted: bool
    revision: int


@dataclass(frozen=True)
class StoreSnapshot:
    """All objects at one moment, and the revision at that moment."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class PlatformStore:
    """Objects by kind and name, as the platform's documentation specifies."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.faults = Faults(down=False, slow=0.0, lose_answers=0.0)
        self._random = random.Random(options.get("seed", 1))
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[Event] = []
        self._compacted_revision = 0
        self._revision = 0
        self._changed = asyncio.Condition()
        self.calls = 0
        self.era = 0

    def make_snapshot(self) -> StoreSnapshot:
        """Return a backup for ``restore``."""
        return StoreSnapshot(copy.deepcopy(self._objects), self._revision)

    async def restore(self, snapshot: StoreSnapshot, later_changes: int = 0) -> None:
        """Restore a backup and raise the era.

        ``later_changes`` is the number of revisions that other writers have used since.
        """
        self._objects = copy.deepcopy(snapshot.objects)
        self._revision = snapshot.revision + later_changes
        self._events = [e for e in self._events if e.revision <= snapshot.revision]
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def add_era_header(self, _: web.Request, answer: web.StreamResponse) -> None:
        """Add the era to the headers of an answer, unless it is negative."""
        if self.era >= 0:
            answer.headers["Store-Era"] = str(self.era)

    async def _apply_faults(self) -> web.Response | None:
        self.calls += 1
        if self.faults.get("slow"):
            await asyncio.sleep(self.faults.get("slow"))
        if self.faults.get("down"):
            return web.json_response({"Error": "down"}, status=503)
        return None

    async def read(self, http: web.Request) -> web.Response:
        """Serve a listing, a watch or one object."""
        refused = await self._apply_faults()
        if refused is not None:
            return refused
        kind, _, name = http.match_info["path"].partition("/")
        if name:
            item = self._objects.get(kind, {}).get(name)
            return web.json_response(item, status=200 if item else 404, dumps=encode)
        if "Watch" in http.query:
            wait = float(http.query.get("WaitMs", 0)) / 1000
            return await self._watch(kind, int(http.query["Watch"]), wait)
        return self._list(kind, http.query.get("after", ""))

    def _list(self, kind: str, after: str) -> web.Response:
        by_name = self._objects.get(kind, {})
        names = sorted(name for name in by_name if name > after)
        return web.json_response(
            {
                "items": [by_name[name] for name in names[:PAGE]],
                "HasMore": len(names) > PAGE,
                "CurrentRev": self._revision,
            },
            dumps=encode,
        )

    async def _watch(self, kind: str, revision: int, wait: float) -> web.Response:
        def is_unknown() -> bool:
            return not self._compacted_revision <= revision <= self._revision

        def list_events() -> list[Event]:
            return [e for e in self._events if e.kind == kind and e.revision > revision]

        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(lambda: is_unknown() or list_events())
            except TimeoutError:
                pass
        if is_unknown():
            return web.json_response({"Error": "gone"}, status=410)
        return web.json_response(
            {
                "events": [
                    {"Object": event.item, "Tombstone": event.deleted}
                    for event in list_events()
                ],
                "CurrentRev": self._revision,
            },
            dumps=encode,
        )

    async def write(self, http: web.Request) -> web.StreamResponse:
        """Create or replace an object if it has the expected revision."""
        refused = await self._apply_faults()
        if refused is not None:
            return refused
        body = await http.json()
        kind, _, name = http.match_info["path"].partition("/")
        name = name or body["Metadata"]["Name"]
        current = self._objects.get(kind, {}).get(name)
        expected = body.get("Metadata", {}).get("Revision")
        exists = current is not None
        if (http.method == "POST") == exists and (exists or http.method == "PUT"):
            return web.json_response(current, status=409 if exists else 404)
        known = current["Metadata"]["Revision"] if current is not None else None
        if exists and expected not in (None, known):
            return web.json_response(current, status=409)
        item = await self.put(kind, name, body.get("Specification"))
        if self._random.random() < self.faults.get("lose_answers"):
            assert http.transport is not None
            http.transport.abort()
        return web.json_response(item)

    async def put(
        self, kind: str, name: str, content: Any, finalizers: Any = ()
    ) -> dict[str, Any]:
        """Write an object unconditionally; return it."""
        current = self._objects.get(kind, {}).get(name)
        if current is not None and current["Specification"] == content:
            return current
        self._revision += 1
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self._revision,
                "Finalizers": list(finalizers),
            },
            "Specification": content,
            "Status": None,
        }
        self._objects.setdefault(kind, {})[name] = item
        await self._publish(Event(kind, item, False, self._revision))
        return item

    async def delete(self, http: web.Request) -> web.Response:
        """Remove an object."""
        refused = await self._apply_faults()
        if refused is not None:
            return refused
        kind, _, name = http.match_info["path"].partition("/")
        await self.drop(kind, name)
        return web.json_response({})

    def find(self, kind: str, name: str) -> Any:
        """Return the content of an object, None if there is none."""
        item = self._objects.get(kind, {}).get(name)
        return item["Specification"] if item is not None else None

    async def drop(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._publish(Event(kind, item, True, self._revision))

    def compact(self) -> None:
        """Drop the event history; watches from an older revision get status 410."""
        self._compacted_revision = self._revision
        self._events.clear()

    async def _publish(self, event: Event) -> None:
        async with self._changed:
            self._events.append(event)
            self._changed.notify_all()


def make_app(options: dict[str, Any]) -> web.Application:
    """Return the store's application."""
    store = PlatformStore(options)
    return make_store_app(store)


def make_store_app(store: PlatformStore) -> web.Application:
    """Return the application that serves a store."""
    app = web.Application()
    store.faults.add_routes(app)
    app.on_response_prepare.append(store.add_era_header)
    app.router.add_get("/objects/{path:.+}", store.read)
    app.router.add_post("/objects/{path:.+}", store.write)
    app.router.add_put("/objects/{path:.+}", store.write)
    app.router.add_delete("/objects/{path:.+}", store.delete)
    return app


main = make_command(make_app, "Stand-in for the store of the users' platform.")

if __name__ == "__main__":
    main()
