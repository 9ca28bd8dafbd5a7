"""A client's request as the entry holds it, and how it is read."""

import asyncio
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
)
from kestreltally.fleet.organisations import KeyDigest
from kestreltally.platform.headers import SYSTEM_HEADERS, RequestHead

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
BODY_METHODS: Final = frozenset({"POST", "PUT", "PATCH"})


class Refused(Exception):
    """A request ends here: with which status, why, and when to come back."""

    def __init__(
        self, status: int, reason: str, retry_after: Seconds | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class ClientDisconnected(Exception):
    """The client closed its channel before its request was whole."""


@dataclass(frozen=True, slots=True)
class Caller:
    """An organisation, and the digest of the key by which it showed itself."""

    organisation: Organisation
    digest: KeyDigest = field(repr=False)


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A whole request, with its route and the moment by which it must be answered.

    Its client leaves unless the first event, or the whole answer, comes by
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

    @property
    def organisation(self) -> Organisation | None:
        """Return whose request it is, if it needed a key."""
        return self.caller.organisation if self.caller is not None else None

    @property
    def organisation_name(self) -> OrganisationName | None:
        """Return the name of the organisation whose request it is, if any."""
        organisation = self.organisation
        return organisation.name if organisation is not None else None

    @property
    def priority(self) -> int:
        """Return how urgent it is, 0 the most: an organisation's own goes first."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def first_event_deadline(self) -> Seconds:
        """Return by when the client must hear something."""
        if not self.route.patience:
            return self.deadline
        return min(self.deadline, self.arrived_at + self.route.patience)

    @property
    def service_name(self) -> ServiceName:
        """Return the name of the service that takes it."""
        return self.service.name


def list_passed_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    """Return a request's headers without those of its connection and the system's."""
    named = request.headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP_HEADERS | SYSTEM_HEADERS | {each.strip() for each in named}
    return tuple(
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in request.raw_headers
        if name.decode("latin-1").lower() not in dropped
    )


async def read_body(request: web.BaseRequest, limit: int, timeout: Seconds) -> bytes:
    """Return a request's body; raises ``Refused`` or ``ClientDisconnected``."""
    if not request.body_exists:
        return b""
    length = request.content_length
    if length is not None and length > limit:
        raise Refused(413, "the body is too long")
    expects = request.headers.get("Expect", "").lower() == "100-continue"
    if expects and request.transport is not None:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    content = bytearray()
    try:
        async with asyncio.timeout(timeout):
            async for piece in request.content.iter_any():
                content += piece
                if len(content) > limit:
                    raise Refused(413, "the body is too long")
    except TimeoutError as error:
        raise Refused(408, "the body did not come in time") from error
    except (ConnectionError, HTTPException, ValueError) as error:
        raise ClientDisconnected(repr(error)) from error
    return bytes(content)
