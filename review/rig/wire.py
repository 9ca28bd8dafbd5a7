"""HTTP/1.1 on plain asyncio streams: what clients and engines of a case speak."""

import asyncio


class Message:
    """A head and a body as they came."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        """Return the first value of a field."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)


async def read_head(reader):
    """Return the start line and the fields, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":") for line in lines[1:]]
    return Message(lines[0], [(n, v.strip()) for n, _, v in pairs], b"")


async def read_chunks(reader, on_piece=None):
    """Return a chunked body; raises IncompleteReadError where it breaks off."""
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return body
        piece = (await reader.readexactly(size + 2))[:-2]
        body += piece
        if on_piece is not None:
            on_piece(piece)


async def read_request(reader):
    """Return the next request with its body, None at the end."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.get("Transfer-Encoding").lower() == "chunked":
        message.body = await read_chunks(reader)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    return message
