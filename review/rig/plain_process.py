"""A plain engine as a process of its own, so that a case can kill and start it.

Arguments: the store's address, the engine's host and port, and where it writes what it
ran. Its answers have neither a length nor chunks, and end with their channel.
"""

import asyncio
import json
import sys
import time
import uuid

from rig.engine import make_head, send
from rig.wire import read_head, read_request

SIZE = 800
BEAT = 1.2


class Plain:
    """One boot of the engine."""

    def __init__(self, store, host, port, log):
        self.store = store.rsplit(":", 1)
        self.host, self.port = host, int(port)
        self.log = log
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.beats = 0

    async def beat(self):
        """Write the entry, again and again."""
        while True:
            self.beats += 1
            entry = {
                "Service": "ledger", "Address": f"{self.host}:{self.port}",
                "Zone": "alm-a", "Version": "v1", "Slots": 6, "State": "ready",
                "ColdLeftMs": 0, "Sequence": self.beats, "born": self.born,
            }
            body = {"Metadata": {"Name": self.id}, "Specification": entry}
            if await self._call("PUT", f"/objects/servers/{self.id}", body) == 404:
                await self._call("POST", "/objects/servers", body)
            await asyncio.sleep(BEAT)

    async def _call(self, method, path, body):
        try:
            reader, writer = await asyncio.open_connection(*self.store)
            content = json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(content)}"
                "\r\n\r\n".encode() + content
            )
            head = await read_head(reader)
            writer.close()
            return int(head.start.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            return 0

    async def serve(self, reader, writer):
        """Serve one channel."""
        try:
            while (request := await read_request(reader)) is not None:
                rid = request.get("X-Request-Id")
                if request.get("X-Expect-Instance", self.id) != self.id:
                    send(writer, 421, rid, {}, [("X-Not-Run", "1"), ("X-Instance-Id", self.id)])
                    continue
                if request.start.split(" ")[1] == "/health":
                    send(writer, 200, rid, {}, [("X-Instance-Id", self.id)])
                    continue
                # The work takes as long as the request says; half of the answer comes
                # before it, half after it.
                body = (f"{rid} posted 120 points; ").encode().ljust(SIZE - 1, b".") + b"!"
                self.runs.append(rid)
                print(f"run {rid} by {self.id}", file=self.log, flush=True)
                work = int(request.get("X-Work-Ms", "0")) / 1000
                writer.write(make_head(self, request) + body[: SIZE // 2])
                await writer.drain()
                await asyncio.sleep(work)
                writer.write(body[SIZE // 2 :])
                await writer.drain()
                return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main():
    """Serve until killed."""
    with open(sys.argv[4], "a", encoding="utf-8") as log:
        plain = Plain(*sys.argv[1:4], log)
        server = await asyncio.start_server(plain.serve, plain.host, plain.port)
        print(f"engine {plain.id} begins", file=log, flush=True)
        async with server:
            await plain.beat()


if __name__ == "__main__":
    asyncio.run(main())
