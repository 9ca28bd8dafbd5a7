"""How requests come in: from clients, or passed on by other daemons."""

from dataclasses import replace
from typing import Final, Protocol

from aiohttp import web

from kestreltally.entry.answers import make_refusal
from kestreltally.entry.gate import Gate
from kestreltally.entry.refusals import Refusal
from kestreltally.entry.request import Caller, ClientRequest, Refused
from kestreltally.fleet.model import OrganisationName, Route, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.forwarding.headers import (
    ForwardedContext,
    ForwardRefusal,
    decode_context,
    encode_refusal,
    encode_send,
    is_internal,
    read_send,
)
from kestreltally.knowledge.authority import Authority
from kestreltally.platform.headers import REQUEST_ID, read_keys, read_request_id
from kestreltally.sockets import USER_TIMEOUT_MS

MISDIRECTED: Final = 421
UNAVAILABLE: Final = 503
# Bytes on their way between daemons are given up after this.
MAX_TRANSIT: Final[Seconds] = USER_TIMEOUT_MS / 1000
# A daemon that knows no route or no organisation that the sender knows, or only an
# older configuration, learns of it within this time.
OLDER_RETRY_DELAY: Final[Seconds] = 0.1


class Intake(Protocol):
    """What differs by where a request comes from."""

    def identify(self, client: web.BaseRequest, route: Route) -> Caller | None:
        """Return the caller, None where no key is needed; raises ``Refused``."""

    def adapt(self, client: web.BaseRequest, request: ClientRequest) -> ClientRequest:
        """Return a request that was read; raises ``Refused``."""

    async def admit(self, request: ClientRequest) -> None:
        """Count a request against its quota; raises ``Refused``."""

    def refund(self, request: ClientRequest) -> None:
        """Return what was counted for a request that has not run."""

    def make_refusal(self, client: web.BaseRequest, refusal: Refusal) -> web.Response:
        """Return the answer to a request that is refused."""


class ClientIntake:
    """Requests of clients."""

    def __init__(self, gate: Gate) -> None:
        self._gate = gate

    def identify(self, client: web.BaseRequest, route: Route) -> Caller | None:
        """Return the caller by the key of a request; raises ``Refused``."""
        return self._gate.identity.identify(read_keys(client.headers), route)

    def adapt(self, _: web.BaseRequest, request: ClientRequest) -> ClientRequest:
        """Return the request as it is."""
        return request

    async def admit(self, request: ClientRequest) -> None:
        """Count a request against its quota; raises ``Refused``."""
        await self._gate.admit(request)

    def refund(self, request: ClientRequest) -> None:
        """Return the units counted for a request that has not run."""
        self._gate.refund(request)

    def make_refusal(self, client: web.BaseRequest, refusal: Refusal) -> web.Response:
        """Return this daemon's refusal."""
        return make_refusal(refusal, read_request_id(client.headers))


class PeerIntake:
    """Requests that other daemons pass on, which have admitted and counted them."""

    def __init__(self, fleet: Fleet, authority: Authority) -> None:
        self._fleet = fleet
        self._authority = authority

    def identify(self, client: web.BaseRequest, route: Route) -> Caller | None:
        """Return the caller that the other daemon names; raises ``Refused``."""
        context = _read_context(client)
        configuration = self._fleet.configuration
        if configuration is None or configuration.version < context.version:
            raise _make_older_refusal("configuration older than the sender's")
        if route.public or self._fleet.keys is None:
            return None
        return self._find_caller(context, context.organisation)

    def _find_caller(
        self, context: ForwardedContext, name: OrganisationName | None
    ) -> Caller:
        """Return the caller, until the keys are too old of the daemon that knew it."""
        configuration = self._fleet.configuration
        listed = configuration.organisations if configuration is not None else ()
        organisation = next((each for each in listed if each.name == name), None)
        if organisation is None:
            raise _make_older_refusal("organisation not listed")
        deadline = self._authority.compute_key_deadline(context.key_age + MAX_TRANSIT)
        return Caller(organisation, None, deadline)

    def adapt(self, client: web.BaseRequest, request: ClientRequest) -> ClientRequest:
        """Return a request that runs on as many endpoints as the sender allows."""
        context = _read_context(client)
        return replace(
            request,
            headers=tuple(each for each in request.headers if not is_internal(each[0])),
            route=replace(request.route, attempts=context.attempts),
            arrived_at=request.arrived_at - context.age,
            forwarded=True,
            origin=context.origin,
        )

    async def admit(self, _: ClientRequest) -> None:
        """Count nothing: the sender has."""

    def refund(self, _: ClientRequest) -> None:
        """Return nothing: the sender does."""

    def make_refusal(self, client: web.BaseRequest, refusal: Refusal) -> web.Response:
        """Return a refusal to the daemon; one that has not run says so."""
        request_id = read_request_id(client.headers)
        if refusal.promise is None:
            return make_refusal(refusal, request_id)
        forwarded = ForwardRefusal(
            refusal.status, refusal.reason, refusal.retry_after, refusal.elsewhere
        )
        headers = [
            (REQUEST_ID, request_id),
            encode_send(read_send(client.headers)),
            *encode_refusal(forwarded),
        ]
        return web.Response(status=MISDIRECTED, headers=headers)


def _read_context(client: web.BaseRequest) -> ForwardedContext:
    try:
        return decode_context(client.headers)
    except ValueError as error:
        raise Refused(400, str(error)) from error


def _make_older_refusal(reason: str) -> Refused:
    return Refused(UNAVAILABLE, reason, OLDER_RETRY_DELAY, elsewhere=True)
