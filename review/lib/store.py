"""A small stand-in for the platform's store: objects, conditional writes, watches."""

import asyncio
import json
import re

from aiohttp import web

PAGE = 500
_NESTED = re.compile(r'"nested:(\d+)"')


def make_nested(depth):
    """Return what the store writes as a list of lists, ``depth`` deep."""
    return f"nested:{depth}"


def _dump(content):
    """Return JSON; lists are nested too deep for the encoder."""
    return _NESTED.sub(
        lambda found: "[" * int(found[1]) + "]" * int(found[1]), json.dumps(content)
    )


class Store:
    """Objects by kind and name, as the pages tell; ``delay`` is added to each answer."""

    def __init__(self):
        self._objects = {}
        self._events = []
        self._revision = 0
        self._changed = asyncio.Condition()
        self.delay = 0.004

    def make_app(self):
        """Return the application that serves the store."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/objects/{kind}", self._list_or_watch)
        app.router.add_get("/objects/{kind}/{name}", self._read)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        return app

    async def _add_era(self, _, answer):
        answer.headers["Store-Era"] = "0"

    async def _list_or_watch(self, http):
        if "Watch" in http.query:
            return await self._watch(http)
        await asyncio.sleep(self.delay)
        by_name = self._objects.get(http.match_info["kind"], {})
        after = http.query.get("after", "")
        names = sorted(name for name in by_name if name > after)
        return web.json_response(
            {
                "items": [by_name[name] for name in names[:PAGE]],
                "HasMore": len(names) > PAGE,
                "CurrentRev": self._revision,
            },
            dumps=_dump,
        )

    async def _watch(self, http):
        kind, since = http.match_info["kind"], int(http.query["Watch"])

        def list_events():
            return [e for r, k, e in self._events if k == kind and r > since]

        async with self._changed:
            try:
                async with asyncio.timeout(int(http.query.get("WaitMs", 0)) / 1000):
                    await self._changed.wait_for(list_events)
            except TimeoutError:
                pass
        answer = {"events": list_events(), "CurrentRev": self._revision}
        await asyncio.sleep(self.delay)
        return web.json_response(answer, dumps=_dump)

    async def _read(self, http):
        await asyncio.sleep(self.delay)
        item = self.get(http.match_info["kind"], http.match_info["name"])
        return web.json_response(item, status=200 if item else 404, dumps=_dump)

    async def _create(self, http):
        body = await http.json()
        await asyncio.sleep(self.delay)
        kind, name = http.match_info["kind"], body["Metadata"]["Name"]
        current = self.get(kind, name)
        if current is not None:
            return web.json_response(current, status=409)
        item = await self.put(kind, name, body.get("Specification"))
        return web.json_response(item, status=201)

    async def _replace(self, http):
        body = await http.json()
        await asyncio.sleep(self.delay)
        kind, name = http.match_info["kind"], http.match_info["name"]
        current = self.get(kind, name)
        if current is None:
            return web.json_response({}, status=404)
        expected = body.get("Metadata", {}).get("Revision")
        if expected not in (None, current["Metadata"]["Revision"]):
            return web.json_response(current, status=409)
        return web.json_response(await self.put(kind, name, body.get("Specification")))

    async def _delete(self, http):
        await asyncio.sleep(self.delay)
        await self.drop(http.match_info["kind"], http.match_info["name"])
        return web.json_response({})

    def get(self, kind, name):
        """Return an object, or None."""
        return self._objects.get(kind, {}).get(name)

    async def put(self, kind, name, content):
        """Write an object; one that is equal raises no revision."""
        current = self.get(kind, name)
        if current is not None and current["Specification"] == content:
            return current
        self._revision += 1
        created = current["Metadata"]["Created"] if current else self._revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self._revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Specification": content,
            "Status": None,
        }
        self._objects.setdefault(kind, {})[name] = item
        await self._publish(kind, item, deleted=False)
        return item

    async def drop(self, kind, name):
        """Remove an object, if it is there."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._publish(kind, item, deleted=True)

    async def _publish(self, kind, item, *, deleted):
        event = {"Object": item, "Tombstone": deleted}
        async with self._changed:
            self._events.append((self._revision, kind, event))
            self._changed.notify_all()
