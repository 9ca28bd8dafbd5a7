"""Passes a request on to another daemon, and its answer back as it comes."""

import asyncio
import logging
from collections.abc import Callable
from secrets import token_hex
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import SocketAddress
from kestreltally.entry.backup import Backup
from kestreltally.entry.delivery import MAX_BUFFERED_BYTES, Delivery
from kestreltally.entry.health import HealthTable
from kestreltally.entry.progress import (
    UNAVAILABLE,
    AttemptFailed,
    Progress,
    make_final_error,
)
from kestreltally.entry.request import BODY_METHODS, ClientRequest, Refused
from kestreltally.entry.retries import RetryBudget
from kestreltally.entry.run import Run
from kestreltally.entry.sends import Proof
from kestreltally.entry.upstream import (
    Answer,
    AnswerLost,
    AnswerTruncated,
    Channel,
    ChannelClosed,
    ChannelPool,
    NotConnected,
    encode_head,
)
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds
from kestreltally.fleet.notices import NoticeTable, Unavailable
from kestreltally.fleet.tables import Fleet
from kestreltally.forwarding.headers import (
    ForwardedContext,
    ForwardRefusal,
    decode_refusal,
    encode_context,
    encode_send,
    is_internal,
    read_send,
)
from kestreltally.forwarding.targets import ForwardTarget, ForwardTargets
from kestreltally.platform.headers import LAST_EVENT_ID, encode_deadline, is_genuine

LOG = logging.getLogger("kestreltally.forwarding")

# Daemons that are asked for one request.
MAX_TARGETS: Final = 3
# No daemon is known to reach an endpoint. One that does is known within this time.
NO_TARGET_RETRY_DELAY: Final[Seconds] = 0.5
SEND_ID_BYTES: Final = 8


class NotServed(Exception):
    """The daemon cannot serve the request, which has not run; others may."""


class Forwarder:
    """Passes requests on, over channels of its own.

    ``get_key_age`` returns how long ago the known keys were confirmed.
    """

    def __init__(
        self,
        targets: ForwardTargets,
        fleet: Fleet,
        budget: RetryBudget,
        get_key_age: Callable[[], Seconds],
    ) -> None:
        self._targets = targets
        self._fleet = fleet
        self._get_key_age = get_key_age
        self.pool = ChannelPool(NoticeTable())
        self._delivery = Delivery(HealthTable(), budget, self.pool)
        self.forwarded = 0

    @property
    def has_target(self) -> bool:
        """Return whether any daemon is known to reach endpoints."""
        now = asyncio.get_running_loop().time()
        return self._targets.choose(set(), now) is not None

    async def forward(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        backup: Backup | None = None,
    ) -> web.StreamResponse:
        """Return the answer; raises ``Refused`` or ``StreamBroken``."""
        clock = asyncio.get_running_loop().time
        asked: set[SocketAddress] = set()
        while len(asked) < MAX_TARGETS:
            target = self._targets.choose(asked, clock())
            if target is None:
                break
            asked.add(target.address)
            try:
                return await self._attempt(request, client, progress, target, backup)
            except NotServed as reason:
                self._targets.record_failed(target.address, clock())
                progress.trail.append(f"daemon {target.address.host}: {reason}")
        progress.last_fault = "no endpoint within reach of this daemon or its peers"
        if progress.runs or progress.response is not None:
            raise make_final_error(progress)
        raise Refused(UNAVAILABLE, progress.last_fault, NO_TARGET_RETRY_DELAY)

    async def _attempt(
        self,
        request: ClientRequest,
        client: web.BaseRequest,
        progress: Progress,
        target: ForwardTarget,
        backup: Backup | None,
    ) -> web.StreamResponse:
        """Pass a request on to one daemon; raises ``NotServed`` too."""
        endpoint = _make_endpoint(target, request)
        try:
            channel = await self.pool.acquire(endpoint, request.head.id)
        except NotConnected as error:
            raise NotServed(str(error)) from error
        self.forwarded += 1
        log_decision(
            LOG,
            Decision.REQUEST_FORWARDED,
            request=request.head.id,
            target=target.address.host,
            in_flight=self._targets.in_flight[target.address],
            load=target.load,
        )
        self._targets.in_flight[target.address] += 1
        keep = False
        try:
            answer = await self._send(request, progress, channel)
            now = asyncio.get_running_loop().time()
            progress.first_byte_at = progress.first_byte_at or now
            channel.apply_keep_alive(answer, now)
            run = Run(request, client, progress, endpoint, backup)
            response = await self._delivery.forward(run, answer)
            keep = True
            return response
        except (AnswerLost, AttemptFailed) as failure:
            progress.last_fault = f"daemon {target.address.host}: {failure}"
            raise make_final_error(progress) from failure
        except (NotServed, Refused):
            keep = True
            raise
        finally:
            self._targets.in_flight[target.address] -= 1
            self.pool.release(channel, keep=keep)

    async def _send(
        self, request: ClientRequest, progress: Progress, channel: Channel
    ) -> Answer:
        """Return the answer of a daemon; raises ``AnswerLost``, or if it refuses."""
        attempts = _count_attempts(request, progress)
        send_id = token_hex(SEND_ID_BYTES)
        head = self._encode(request, progress, attempts, send_id)
        progress.sends += 1
        # The daemon may use all attempts, whatever interrupts the wait for its answer.
        send = progress.send_log.start(attempts)
        try:
            answer = await channel.send(head, request.body, request.head.id)
        except (ChannelClosed, Unavailable) as error:
            send.disprove(Proof.NOT_WRITTEN)
            raise NotServed("channel not available") from error
        refusal = _find_refusal(answer, send_id)
        if refusal is not None:
            send.disprove(Proof.PEER_REFUSED)
            await _skip_body(answer)
            raise _make_error(refusal, progress)
        if not is_genuine(answer.status, answer.headers):
            raise AttemptFailed("answer not genuine", may_have_run=True)
        return answer

    def _encode(
        self,
        request: ClientRequest,
        progress: Progress,
        attempts: int,
        send_id: str,
    ) -> bytes:
        now = asyncio.get_running_loop().time()
        configuration = self._fleet.configuration
        last = progress.last_event_id
        dropped = {LAST_EVENT_ID.lower()} if last is not None else set()
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in dropped and not is_internal(name)
        ]
        if last is not None:
            headers.append((LAST_EVENT_ID, last))
        headers.append(encode_deadline(request.deadline - now))
        context = ForwardedContext(
            organisation=request.organisation_name,
            attempts=attempts,
            version=configuration.version if configuration is not None else 0,
            age=now - request.arrived_at,
            key_age=self._get_key_age() if request.caller is not None else 0.0,
            origin=progress.origin,
        )
        headers.append(encode_context(context))
        headers.append(encode_send(send_id))
        if request.body or request.method in BODY_METHODS:
            headers.append(("Content-Length", str(len(request.body))))
        return encode_head(request.method, request.path, headers)


def _count_attempts(request: ClientRequest, progress: Progress) -> int:
    """Return on how many endpoints a request may still run."""
    if not request.route.repeatable:
        return 1
    return max(1, request.route.attempts - progress.runs)


def _find_refusal(answer: Answer, send_id: str) -> ForwardRefusal | None:
    """Return a daemon's refusal of one send, None if the request may have run.

    A refusal that names no send may be that of an earlier one, or an endpoint's word.
    """
    try:
        refusal = decode_refusal(answer.headers)
    except ValueError as error:
        LOG.warning("forwarding: refusal not understood: %s", error)
        return None
    return refusal if read_send(answer.headers) == send_id else None


def _make_error(refusal: ForwardRefusal, progress: Progress) -> Exception:
    """Return the exception for a daemon's refusal."""
    if refusal.elsewhere:
        return NotServed(refusal.reason)
    if progress.runs or progress.response is not None:
        progress.last_fault = refusal.reason
        return make_final_error(progress)
    return Refused(refusal.status, refusal.reason, refusal.retry_after)


def _make_endpoint(target: ForwardTarget, request: ClientRequest) -> Endpoint:
    """Return a daemon as what channels are opened to."""
    address = target.address
    return Endpoint(
        id=EndpointId(f"daemon {address.host}:{address.port}"),
        service=request.service_name,
        host=address.host,
        port=address.port,
        data_centre=target.data_centre,
        slots=0,
        leaving=False,
        weights={},
    )


async def _skip_body(answer: Answer) -> None:
    try:
        await answer.read_all(MAX_BUFFERED_BYTES)
    except AnswerTruncated as error:
        LOG.debug("forwarding: refusal truncated: %s", error)
