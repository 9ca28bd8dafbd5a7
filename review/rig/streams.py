"""Streams of clients: their tries, and what an engine streams."""

import asyncio

from rig.engine import make_head
from rig.system import HOST, MODEL
from rig.wire import read_head

EVENT_S = 0.25
OBJECTIVE_MS = 600
PAUSE_MS = 250
TIMEOUT_MS = 15_000
# "After a gap of two seconds, four times the objective or eight times that pause,
# whichever is longest, requesters give a stream up".
SILENCE_S = max(2.0, 4 * OBJECTIVE_MS / 1000, 8 * PAUSE_MS / 1000)
TRIES = 3
# The fields of a route whose streams may be taken up.
ROUTE = {
    "TimeoutMs": TIMEOUT_MS, "ObjectiveMs": OBJECTIVE_MS, "GapTargetMs": PAUSE_MS,
    "Resumable": True, "Sticky": True,
}


def make_answer(events):
    """Return what makes an engine stream so many events."""

    async def answer(engine, request, writer):
        """Stream events from the one after Last-Event-Id on."""
        writer.write(make_head(engine, request, headers=[
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
            ("X-Weight-Versions", "1")]))
        first = int(request.get("Last-Event-Id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(EVENT_S)
            event = (f"id: {number}\ndata: {engine.service}/{engine.software} "
                     f"{request.get('X-Request-Id')}\n\n")
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    return answer


class Stream:
    """A stream of a client, over its tries."""

    def __init__(self, system, name, adapter="a1"):
        self.system = system
        self.name = name
        self.adapter = adapter
        self.events = []
        self.first_id = None
        self.end = "none"
        self.retry_after = 0.3

    async def try_at(self, daemon, number):
        """Send one try; return why it ended."""
        rid = f"{self.name}.{number}"
        lines = [
            "POST /chat/x HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {rid}",
            f"X-Model-Name: {MODEL}/{self.adapter}", "X-Token-Counts: 646,180",
            f"X-Prompt-Prefix: aa01:155,{rid.encode().hex()}:491",
            f"X-Deadline-Milliseconds: {TIMEOUT_MS}", "Content-Length: 2",
        ]
        if self.events:
            lines += [f"Last-Event-Id: {self.events[-1][0]}", f"Resumes: {self.first_id}"]
        self.system.note("sent", rid, "to", daemon.name,
                         f"after event {self.events[-1][0]}" if self.events else "")
        before = len(self.events)
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*daemon.front)
        except (OSError, TimeoutError):
            return "no connection"
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhi")
            async with asyncio.timeout(SILENCE_S):
                head = await read_head(reader)
            if head is None:
                return "closed"
            status = head.start.split(" ")[1]
            if status != "200":
                self.retry_after = float(head.get("Retry-After", "0.3"))
                return status
            return await self._read_events(reader, rid)
        except TimeoutError:
            return "silent"
        except (OSError, asyncio.IncompleteReadError):
            return "broken"
        finally:
            writer.close()
            if len(self.events) > before and self.first_id is None:
                self.first_id = rid

    async def _read_events(self, reader, rid):
        buffered = b""
        while True:
            async with asyncio.timeout(SILENCE_S):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
            if not size:
                return "whole"
            buffered += piece[:-2]
            *whole, buffered = buffered.split(b"\n\n")
            for event in whole:
                number, data = event.decode().split("\n")
                self.events.append((int(number[4:]), data[6:].split(" ")[0], rid))


async def follow(stream, daemons, tries=TRIES):
    """Try a stream until it is whole, as a client; return how its tries ended."""
    ends = []
    for number in range(tries):
        end = await stream.try_at(daemons[min(number, len(daemons) - 1)], number)
        ends.append(end)
        stream.system.note("answered", f"{stream.name}.{number}", end,
                           f"{len(stream.events)} events")
        if end == "whole":
            break
        if number:
            await asyncio.sleep(min(stream.retry_after, 1.5))
    return ends
