"""Client requests: the parsed representation, and reading headers and body."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from aiohttp import web
from aiohttp.web_exceptions import HTTPException

from kestreltally.fleet.model import (
    Organisation,
    OrganisationName,
    Route,
    Seconds,
    ServiceName,
    ServiceSpec,
    WeightsKey,
)
from kestreltally.fleet.organisations import KeyDigest
from kestreltally.ingress.protocol import RequestEnded
from kestreltally.platform.headers import SYSTEM_HEADERS, RequestHead
from kestreltally.streams.origins import StreamOrigin

# Hop-by-hop headers (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# A client whose body found no room comes back on a new connection, most likely at
# another daemon.
RETRY_DELAY: Final[Seconds] = 0.1
BODY_METHODS: Final = frozenset({"POST", "PUT", "PATCH"})


class Refused(Exception):
    """A request is refused, with a status, a reason and an optional retry time.

    ``elsewhere``: the cause is this daemon's own, and others may serve the request.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after: Seconds | None = None,
        *,
        elsewhere: bool = False,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.elsewhere = elsewhere


class ClientDisconnected(Exception):
    """The client closed its connection before its request was complete."""


@dataclass(frozen=True, slots=True)
class Caller:
    """An organisation, and the digest of the key by which it authenticated.

    The digest is None if another daemon checked the key; ``valid_until`` is how long
    that is believed.
    """

    organisation: Organisation
    digest: KeyDigest | None = field(repr=False)
    valid_until: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request, with its route and the deadline of its answer.

    One that is ``forwarded`` was passed on by another daemon, which may know the
    ``origin`` of the stream that it takes up.

    The client disconnects unless the first event, or the complete answer, arrives by
    ``first_event_deadline``.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    head: RequestHead
    route: Route
    service: ServiceSpec
    arrived_at: Seconds
    deadline: Seconds
    caller: Caller | None = None
    forwarded: bool = False
    origin: StreamOrigin | None = None

    @property
    def organisation(self) -> Organisation | None:
        """Return the organisation of the request, None if no key was needed."""
        return self.caller.organisation if self.caller is not None else None

    @property
    def organisation_name(self) -> OrganisationName | None:
        """Return the name of the request's organisation, if any."""
        organisation = self.organisation
        return organisation.name if organisation is not None else None

    @property
    def priority(self) -> int:
        """Return the priority, 0 the most urgent.

        An organisation's priority takes precedence over the route's.
        """
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def first_event_deadline(self) -> Seconds:
        """Return the time by which the client must receive something."""
        if not self.route.silence_limit:
            return self.deadline
        return min(self.deadline, self.arrived_at + self.route.silence_limit)

    @property
    def adapter(self) -> WeightsKey | None:
        """Return the adapter on which an engine runs the request, None if none."""
        key = self.head.weights
        if self.service.engine is None or key is None or not key.adapter:
            return None
        return key

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the client has events of a stream that is to go on."""
        return self.route.resumable and self.head.resumes

    @property
    def service_name(self) -> ServiceName:
        """Return the name of the service that serves the request."""
        return self.service.name


def list_passed_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    """Return a request's headers without hop-by-hop and system headers."""
    named = request.headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS | SYSTEM_HEADERS | {each.strip() for each in named}
    return tuple(
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in request.raw_headers
        if name.decode("latin-1").lower() not in dropped
    )


async def read_body(
    request: web.BaseRequest,
    limit: int,
    timeout: Seconds,
    reserve: Callable[[int], None] = lambda _: None,
) -> bytes:
    """Return a request's body; raises ``Refused`` or ``ClientDisconnected``.

    ``reserve`` is called with the number of bytes before they are held: that of the
    whole body where it is known.
    """
    if not request.body_exists:
        reserve(0)
        return b""
    length = request.content_length
    if length is not None and length > limit:
        raise Refused(413, f"request body longer than {limit} bytes")
    reserve(length or 0)
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    if expects and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    content = bytearray()
    try:
        async with asyncio.timeout(timeout):
            async for piece in request.content.iter_any():
                if length is None:
                    reserve(len(piece))
                content += piece
                if len(content) > limit:
                    raise Refused(413, f"request body longer than {limit} bytes")
    except RequestEnded as error:
        raise Refused(503, f"request body ended: {error}", RETRY_DELAY) from error
    except TimeoutError as error:
        raise Refused(408, f"request body not received within {timeout} s") from error
    except (ConnectionError, HTTPException, ValueError) as error:
        raise ClientDisconnected(repr(error)) from error
    return bytes(content)
