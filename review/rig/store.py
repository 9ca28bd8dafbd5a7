"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json

from aiohttp import web

HISTORY = 20_000


class Store:
    """Objects by kind and name, watches, conditional writes."""

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 0
        self.changed = asyncio.Condition()
        # Hooks of a case: called with (method, kind, name, body); may delay or refuse.
        self.before = None
        # While it is down, all calls get 503: nothing was done.
        self.is_down = False
        self.era = None
        self.calls = 0

    async def put(self, kind, name, content):
        """Write an object unconditionally, as operators and engines do."""
        current = self.objects.get(kind, {}).get(name)
        if current is not None and current["Specification"] == content:
            return current
        self.revision += 1
        created = current["Metadata"]["Created"] if current else self.revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Specification": content,
            "Status": None,
        }
        self.objects.setdefault(kind, {})[name] = item
        await self._publish(kind, item, False)
        return item

    async def drop(self, kind, name):
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item = {**item, "Metadata": {**item["Metadata"], "Revision": self.revision}}
            await self._publish(kind, item, True)

    async def _publish(self, kind, item, deleted):
        async with self.changed:
            self.events.append((self.revision, kind, item, deleted))
            del self.events[:-HISTORY]
            self.changed.notify_all()

    async def _handle(self, http):
        self.calls += 1
        if self.is_down:
            return self._answer({"Error": "down"}, 503)
        kind, _, name = http.match_info["path"].partition("/")
        name = name.removesuffix("/status")
        body = await http.json() if http.method in ("POST", "PUT") else None
        if self.before is not None:
            answer = await self.before(http, kind, name, body)
            if answer is not None:
                return answer
        if http.method == "GET":
            return await self._read(http, kind, name)
        return await self._write(http, kind, name, body)

    def _answer(self, content, status=200):
        headers = {} if self.era is None else {"Store-Era": str(self.era)}
        return web.json_response(content, status=status, headers=headers)

    async def _read(self, http, kind, name):
        if name:
            item = self.objects.get(kind, {}).get(name)
            return self._answer(item, 200 if item else 404)
        if "Watch" not in http.query:
            names = sorted(self.objects.get(kind, {}))
            names = [n for n in names if n > http.query.get("after", "")]
            return self._answer(
                {
                    "items": [self.objects[kind][n] for n in names[:500]],
                    "HasMore": len(names) > 500,
                    "CurrentRev": self.revision,
                }
            )
        revision = int(http.query["Watch"])
        wait = min(30.0, int(http.query.get("WaitMs", 0)) / 1000)

        def found():
            return [e for e in self.events if e[0] > revision and e[1] == kind]

        async with self.changed:
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait_for(found)
            except TimeoutError:
                pass
        if self.is_down:
            return self._answer({"Error": "down"}, 503)
        events = [{"Object": e[2], "Tombstone": e[3]} for e in found()]
        return self._answer({"events": events, "CurrentRev": self.revision})

    async def _write(self, http, kind, name, body):
        name = name or body["Metadata"]["Name"]
        current = self.objects.get(kind, {}).get(name)
        if http.method == "DELETE":
            await self.drop(kind, name)
            return self._answer({})
        if http.method == "POST" and current is not None:
            return self._answer(current, 409)
        if http.method == "PUT" and current is None:
            return self._answer({"Error": "none"}, 404)
        expected = (body.get("Metadata") or {}).get("Revision")
        expected = expected if expected is not None else http.query.get("Revision")
        if current is not None and expected is not None:
            if int(expected) != current["Metadata"]["Revision"]:
                return self._answer(current, 409)
        return self._answer(await self.put(kind, name, body.get("Specification")))

    async def start(self, host, port):
        """Listen."""
        app = web.Application(client_max_size=2**22)
        app.router.add_route("*", "/objects/{path:.+}", self._handle)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    def dump(self, kind):
        """Return the objects of a kind as text."""
        return json.dumps(self.objects.get(kind, {}))
