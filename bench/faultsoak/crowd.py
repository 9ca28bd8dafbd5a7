"""Clients that don't behave: they send much, leave requests unfinished, read nothing.

Run as a process of its own, so that what it sends doesn't hold up the stand-ins. All
connections stay open until the process is ended; one that is closed or reset by the
daemon is opened again, a few times.
"""

import contextlib
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

import click

from bench.faultsoak.proxy import HOST
from bench.fleet_demo import HOST_NAME

BODY_BYTES: Final = 1_000_000
SEND_BYTES: Final = 2**16
CHUNK_BYTES: Final = 4_096
# How often each connection is opened in place of one that was closed, and the delay.
MAX_REOPENS: Final = 2
REOPEN_DELAY: Final = 0.3
CONNECT_TIMEOUT: Final = 2.0
POLL_INTERVAL: Final = 0.05
# A daemon that takes nothing for so long has stopped reading, or holds its limit.
QUIET_TIME: Final = 1.0


class Kind(Enum):
    """What of a crowd's a daemon holds."""

    BODIES = "bodies"
    SENT_AHEAD = "sent ahead"
    HEADS = "heads"
    CONNECTIONS = "connections"
    # As the others, but not at the port for callers.
    OTHER_PORTS = "other ports"


Pieces = Iterator[bytes]
MakePieces = Callable[[str], Pieces]


@dataclass(frozen=True, slots=True)
class Crowd:
    """What each of ``connections`` sends, and at which offset of a daemon's ports.

    ``reads`` is set if its clients take answers.
    """

    kind: Kind
    connections: int
    make_pieces: MakePieces
    port_offset: int = 0
    reads: bool = False


CROWDS: Final[dict[str, Crowd]] = {}


def sends(
    kind: Kind,
    name: str,
    connections: int = 400,
    port_offset: int = 0,
    *,
    reads: bool = False,
) -> Callable[[MakePieces], MakePieces]:
    """Register a function that yields what a client sends as a crowd."""

    def register(make_pieces: MakePieces) -> MakePieces:
        CROWDS[name] = Crowd(kind, connections, make_pieces, port_offset, reads)
        return make_pieces

    return register


def make_head(request_id: str, *fields: str, path: str = "/plain/x") -> bytes:
    """Return the head of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Milliseconds: 5000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def make_request(request_id: str, body: int, *fields: str, path: str) -> Pieces:
    """Yield a whole request with a body of some bytes."""
    yield make_head(request_id, f"Content-Length: {body}", *fields, path=path)
    yield from _fill(body)


def _fill(size: int) -> Pieces:
    block = b"x" * SEND_BYTES
    for start in range(0, size, SEND_BYTES):
        yield block[: min(SEND_BYTES, size - start)]


@sends(Kind.BODIES, "bodies short of their length")
def send_short_body(client: str) -> Pieces:
    """Send all of a body but its last byte."""
    yield make_head(client, f"Content-Length: {BODY_BYTES}")
    yield from _fill(BODY_BYTES - 1)


@sends(Kind.BODIES, "chunked bodies without an end")
def send_short_chunks(client: str) -> Pieces:
    """Send all of a body in chunks, but not the last."""
    yield make_head(client, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    for _ in range(BODY_BYTES // CHUNK_BYTES):
        yield chunk


@sends(Kind.BODIES, "chunks of one byte without an end")
def send_bytes(client: str) -> Pieces:
    """Send a body byte by byte, each as a chunk, but not the last."""
    yield make_head(client, "Transfer-Encoding: chunked")
    chunks = b"1\r\nx\r\n" * 10_000
    for _ in range(40):
        yield chunks


@sends(Kind.BODIES, "whole bodies, three on each connection")
def send_whole_bodies(client: str) -> Pieces:
    """Send whole large requests."""
    for number in range(3):
        yield from make_request(f"{client}.{number}", BODY_BYTES, path="/plain/x")


@sends(Kind.SENT_AHEAD, "small requests sent ahead", connections=10)
def send_small_ahead(client: str) -> Pieces:
    """Send many small requests whose answers stay unread."""
    for number in range(40_000):
        yield make_head(f"{client}.{number}", "Content-Length: 0")


@sends(Kind.SENT_AHEAD, "refused requests sent ahead", connections=10)
def send_refused_ahead(client: str) -> Pieces:
    """Send many requests that no route serves."""
    for number in range(40_000):
        yield make_head(f"{client}.{number}", "Content-Length: 0", path="/none/x")


@sends(Kind.SENT_AHEAD, "bodies of 60 KB sent ahead", connections=10)
def send_bodies_ahead(client: str) -> Pieces:
    """Send requests with bodies ahead of their answers."""
    for number in range(400):
        yield from make_request(f"{client}.{number}", 60_000, path="/plain/x")


@sends(Kind.SENT_AHEAD, "heads of 15 KB sent ahead", connections=10)
def send_heads_ahead(client: str) -> Pieces:
    """Send requests with large heads ahead of their answers."""
    for number in range(400):
        yield make_head(
            f"{client}.{number}", "Content-Length: 0", "X-A: " + "a" * 15_000
        )


@sends(Kind.SENT_AHEAD, "streams with bodies of 500 KB sent ahead", connections=10)
def send_large_streams(client: str) -> Pieces:
    """Send requests for streams, with large bodies, and read no events."""
    for number in range(40):
        yield from make_request(
            f"{client}.{number}", 500_000, "X-Model-Name: base/a1", path="/models/x"
        )


@sends(Kind.SENT_AHEAD, "streams with bodies of 30 KB sent ahead")
def send_small_streams(client: str) -> Pieces:
    """Send requests for streams ahead on many connections, and read no events."""
    for number in range(40):
        yield from make_request(
            f"{client}.{number}", 30_000, "X-Model-Name: base/a1", path="/models/x"
        )


@sends(Kind.SENT_AHEAD, "large answers that nobody reads")
def send_for_large_answers(client: str) -> Pieces:
    """Ask for answers of 250 KB on many connections, and read none of them."""
    for number in range(20):
        path = "/plain/x?more=250000"
        yield make_head(f"{client}.{number}", "Content-Length: 0", path=path)


@sends(Kind.BODIES, "bodies over the limit")
def send_refused_bodies(client: str) -> Pieces:
    """Send bodies that are refused by their length."""
    yield from make_request(client, 10 * BODY_BYTES, path="/plain/x")


@sends(Kind.HEADS, "heads over the limit, without an end")
def send_endless_heads(client: str) -> Pieces:
    """Send a head of many large fields that does not end."""
    yield make_head(client)[:-2]
    field = b"X-A: " + b"a" * 60_000 + b"\r\n"
    for _ in range(200):
        yield field


@sends(Kind.HEADS, "heads of 15 KB without an end")
def send_short_heads(client: str) -> Pieces:
    """Send a legal head but for its end."""
    yield make_head(client, "X-A: " + "a" * 15_000)[:-2]


@sends(Kind.HEADS, "heads of many small fields without an end")
def send_small_fields(client: str) -> Pieces:
    """Send a legal head of very many fields but for its end."""
    yield make_head(client)[:-2] + b"a:b\r\n" * 250


@sends(Kind.CONNECTIONS, "silent connections", connections=700)
def send_nothing(_: str) -> Pieces:
    """Send nothing at all."""
    yield from ()


@sends(
    Kind.CONNECTIONS,
    "heads without an end on more connections than descriptors",
    connections=700,
)
def send_part_of_head(client: str) -> Pieces:
    """Send a part of a head."""
    yield make_head(client)[:-2]


@sends(Kind.BODIES, "bodies that were asked for and never come")
def send_expectation(client: str) -> Pieces:
    """Announce a body, and wait for leave to send it."""
    yield make_head(client, "Expect: 100-continue", f"Content-Length: {BODY_BYTES}")


@sends(Kind.OTHER_PORTS, "heads without an end to the readiness port", port_offset=1)
def send_heads_to_readiness(client: str) -> Pieces:
    """Send heads over the limit to the readiness port."""
    yield from send_endless_heads(client)


@sends(
    Kind.OTHER_PORTS,
    "bodies short of their length to the readiness port",
    port_offset=1,
)
def send_bodies_to_readiness(client: str) -> Pieces:
    """Send all of a body but its last byte to the readiness port."""
    yield from send_short_body(client)


@sends(
    Kind.OTHER_PORTS, "bodies short of their length to the peers' port", port_offset=3
)
def send_bodies_to_peers(client: str) -> Pieces:
    """Send all of a body but its last byte to the port for other daemons' requests."""
    yield from send_short_body(client)


@sends(Kind.OTHER_PORTS, "heads without an end to the peers' port", port_offset=3)
def send_heads_to_peers(client: str) -> Pieces:
    """Send heads over the limit to the port for other daemons' requests."""
    yield from send_endless_heads(client)


@sends(Kind.OTHER_PORTS, "heads without an end to the metrics port", port_offset=5)
def send_heads_to_metrics(client: str) -> Pieces:
    """Send heads over the limit to the metrics port."""
    yield from send_endless_heads(client)


@sends(
    Kind.OTHER_PORTS,
    "silent connections to the metrics port",
    connections=700,
    port_offset=5,
)
def send_nothing_to_metrics(_: str) -> Pieces:
    """Open connections to the metrics port and send nothing."""
    yield from ()


@dataclass
class Client:
    """One connection of a crowd, and what it has yet to send."""

    name: str
    port: int
    crowd: Crowd
    connection: socket.socket | None = None
    pieces: Pieces = field(default_factory=lambda: iter(()))
    unsent: bytes = b""
    reopens: int = 0
    opens_at: float = 0.0

    def open(self, selector: selectors.BaseSelector) -> None:
        """Connect; nothing happens if the daemon takes no connection now."""
        try:
            connection = socket.create_connection(
                (HOST, self.port), timeout=CONNECT_TIMEOUT
            )
        except OSError:
            self._wait_to_reopen()
            return
        connection.setblocking(False)
        self.connection = connection
        self.pieces = self.crowd.make_pieces(f"{self.name}.{self.reopens}")
        self.unsent = next(self.pieces, b"")
        events = selectors.EVENT_READ if self.crowd.reads else 0
        if self.unsent:
            events |= selectors.EVENT_WRITE
        # The end of a connection of which nothing is read shows as it is written.
        selector.register(connection, events or selectors.EVENT_READ, self)

    def send(self, selector: selectors.BaseSelector) -> bool:
        """Send what the socket takes; return whether it took some."""
        assert self.connection is not None
        try:
            sent = self.connection.send(self.unsent)
        except BlockingIOError:
            return False
        except OSError:
            self.close(selector)
            return False
        self.unsent = self.unsent[sent:] or next(self.pieces, b"")
        if not self.unsent:
            events = selectors.EVENT_READ
            selector.modify(self.connection, events, self)
        return True

    def check_end(self, selector: selectors.BaseSelector) -> None:
        """Close the connection if the daemon has ended it; leave answers unread."""
        assert self.connection is not None
        try:
            flags = 0 if self.crowd.reads else socket.MSG_PEEK
            ended = not self.connection.recv(SEND_BYTES, flags)
        except BlockingIOError:
            return
        except OSError:
            ended = True
        if ended:
            self.close(selector)
        elif not self.crowd.reads:
            # An answer lies there: nothing more is to be learned from reading.
            with contextlib.suppress(KeyError):
                selector.unregister(self.connection)

    def close(self, selector: selectors.BaseSelector) -> None:
        """Close the connection, to be opened again."""
        assert self.connection is not None
        with contextlib.suppress(KeyError):
            selector.unregister(self.connection)
        self.connection.close()
        self.connection = None
        self._wait_to_reopen()

    def _wait_to_reopen(self) -> None:
        self.reopens += 1
        self.opens_at = time.monotonic() + REOPEN_DELAY

    @property
    def may_open(self) -> bool:
        """Return whether the connection is to be opened now."""
        return (
            self.connection is None
            and self.reopens <= MAX_REOPENS
            and time.monotonic() >= self.opens_at
        )


def run_crowd(crowd: Crowd, base_port: int, seconds: float) -> None:
    """Send until a time has passed, and print a line once the daemon takes no more."""
    selector = selectors.DefaultSelector()
    clients = [
        Client(f"c{number}", base_port + crowd.port_offset, crowd)
        for number in range(crowd.connections)
    ]
    ends_at = time.monotonic() + seconds
    active_at = time.monotonic()
    is_told = False
    while (now := time.monotonic()) < ends_at:
        for client in clients:
            if client.may_open:
                client.open(selector)
                active_at = now
        for key, events in selector.select(POLL_INTERVAL):
            client = key.data
            if events & selectors.EVENT_WRITE and client.send(selector):
                active_at = now
            if events & selectors.EVENT_READ and client.connection is not None:
                client.check_end(selector)
        if not is_told and now - active_at > QUIET_TIME:
            is_told = True
            click.echo("quiet")
    for client in clients:
        if client.connection is not None:
            client.connection.close()


@click.command()
@click.argument("name", type=click.Choice(list(CROWDS)))
@click.option("--base-port", type=int, required=True, help="A daemon's first port.")
@click.option("--connections", type=int, help="Instead of the crowd's own number.")
@click.option("--seconds", type=float, default=60.0)
def main(name: str, base_port: int, connections: int | None, seconds: float) -> None:
    """Send what a crowd sends to a daemon, and stay until ended or the time is over."""
    crowd = CROWDS[name]
    if connections is not None:
        crowd = replace(crowd, connections=connections)
    run_crowd(crowd, base_port, seconds)


if __name__ == "__main__":
    main()
