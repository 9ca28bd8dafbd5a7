"""Loopback proxy that delays or resets connections or drops their bytes."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum
from typing import Final

HOST: Final = "127.0.0.1"
CHUNK: Final = 2**16
DELAY: Final = 0.25
# Value of SO_LINGER: a close resets the connection.
NO_LINGER: Final = struct.pack("ii", 1, 0)


class ProxyMode(Enum):
    """Treatment of forwarded bytes."""

    PASS = "pass"
    DELAY = "delay"
    # Open connections are reset when the mode is set, new ones on accept.
    RESET = "reset"
    # Bytes of one direction are dropped.
    CUT_TO_TARGET = "cut to target"
    CUT_FROM_TARGET = "cut from target"
    # Connections are accepted, and all bytes are dropped.
    SILENT = "silent"


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that its other end does not see an end in order."""
    if not writer.transport.is_closing():
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class Proxy:
    """Forwards connections to a target; the mode applies to open ones too."""

    def __init__(self, target: int = 0) -> None:
        self.target = target
        self.mode = ProxyMode.PASS
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections are numbered as they open; those up to a number may be silent.
        self._opened = 0
        self._silenced_up_to = 0

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the treatment of bytes from now on."""
        before, self.mode = self.mode, mode
        dropped_bytes = before not in (ProxyMode.PASS, ProxyMode.DELAY)
        if mode is ProxyMode.RESET or dropped_bytes:
            # Dropped bytes cannot be recovered, so the connection is reset.
            for writer in self._writers:
                reset(writer)

    def silence_open(self) -> None:
        """Drop all bytes of the connections that are open now, but not of new ones."""
        self._silenced_up_to = self._opened

    def close(self) -> None:
        """Stop listening and reset open connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.mode is ProxyMode.RESET:
                reset(writer)
            else:
                await self._forward(reader, writer)
        except OSError:
            # The target does not listen: the client sees a reset, as without a proxy.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._opened += 1
        number = self._opened
        target_reader, target_writer = await asyncio.open_connection(HOST, self.target)
        self._writers.add(target_writer)
        to_target = self._pump(reader, target_writer, ProxyMode.CUT_TO_TARGET, number)
        from_target = self._pump(
            target_reader, writer, ProxyMode.CUT_FROM_TARGET, number
        )
        tasks = [asyncio.create_task(each) for each in (to_target, from_target)]
        try:
            # After the client has closed its side, the answer is still forwarded.
            await tasks[1]
        finally:
            for task in tasks:
                task.cancel()
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: ProxyMode,
        number: int,
    ) -> None:
        dropped = False
        with contextlib.suppress(OSError):
            while content := await reader.read(CHUNK):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY)
                is_silenced = number <= self._silenced_up_to
                if is_silenced or self.mode in (ProxyMode.SILENT, cut):
                    dropped = True
                    continue
                writer.write(content)
                await writer.drain()
            if dropped:
                reset(writer)
            elif writer.can_write_eof():
                writer.write_eof()
