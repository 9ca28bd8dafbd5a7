"""Gives orders to one engine after another, and reads what it reports.

An order names the engine's start and its count of orders, so one that comes late or
reaches another start changes nothing. What an unanswered order did is learned from
reports; until then its place counts as taken.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.upstream import (
    AnswerLost,
    AnswerTruncated,
    ChannelPool,
    NotConnected,
    encode_head,
)
from kestreltally.fleet.model import Endpoint, Seconds, WeightsKey
from kestreltally.fleet.notices import Unavailable
from kestreltally.placing.enginestate import EngineState, PendingLoad
from kestreltally.placing.lease import Lease
from kestreltally.platform.documents import MalformedDocument
from kestreltally.platform.engines import (
    ORDER_PATH,
    REPORT_PATH,
    EngineReport,
    Order,
    OrderKind,
    OrderOutcome,
    decode_outcome,
    decode_report,
    encode_order,
)
from kestreltally.platform.headers import REQUEST_ID, encode_request

LOG = logging.getLogger("kestreltally.orders")

# Engines answer within some ms; what is sent meanwhile is guarded by its expected
# count. Not longer than the lease takes an order to be on its way.
CALL_TIMEOUT: Final[Seconds] = 0.2
# An order without an answer is sent again at once: both expect the same count of
# orders taken, so the engine carries out one of them at most. A third of the answers
# may be missing for seconds; then three sends leave one in thirty unanswered.
MAX_ORDER_SENDS: Final = 3
MAX_REPORT_BYTES: Final = 2**20
# An engine's report is some 100 to 200 ms old; after this it shows what came before.
REPORT_LAG: Final[Seconds] = 0.3


class EngineUnresponsive(Exception):
    """The engine did not answer; an order may still be carried out."""


class EngineUnreachable(EngineUnresponsive):
    """No channel to the engine could be opened: nothing was sent."""


class OrderNotAllowed(Exception):
    """The lease does not allow an order now."""


@dataclass(frozen=True, slots=True)
class Grant:
    """The leave to give an order under one number of a lease."""

    lease: Lease
    fence: int

    def is_valid(self) -> bool:
        """Tell whether the order may leave at this very moment."""
        return self.lease.can_order() and self.lease.fence == self.fence


class EngineClient:
    """Calls engines for their reports and gives them orders under a lease."""

    def __init__(
        self,
        pool: ChannelPool,
        holder: str,
        get_lease: Callable[[Endpoint], Lease],
        clock: Callable[[], Seconds],
    ) -> None:
        self._pool = pool
        self._holder = holder
        self._get_lease = get_lease
        self._clock = clock
        self._calls = 0

    async def read_report(self, endpoint: Endpoint) -> EngineReport:
        """Return an engine's report; raises ``EngineUnresponsive`` or ``Unavailable``."""
        status, body = await self._call(endpoint, "GET", REPORT_PATH, b"", None)
        if status != 200:
            raise EngineUnresponsive(f"report: status {status}")
        try:
            return decode_report(body)
        except MalformedDocument as error:
            raise EngineUnresponsive(str(error)) from error

    async def order(
        self, state: EngineState, kind: OrderKind, key: WeightsKey
    ) -> OrderOutcome:
        """Give an order and book its outcome; raises ``EngineUnresponsive``, ``Unavailable``.

        To repeat a load is to ask whether it has ended: the engine's answer is of the
        moment, unlike its report, and changes nothing.
        """
        async with state.lock:
            return await self._order_locked(state, kind, key)

    async def _order_locked(
        self, state: EngineState, kind: OrderKind, key: WeightsKey
    ) -> OrderOutcome:
        if state.sequence is None:
            raise EngineUnresponsive("no report yet")
        lease = self._get_lease(state.endpoint)
        grant = Grant(lease, lease.fence)
        order = Order(kind, key, self._holder, grant.fence, state.sequence)
        status = await self._send_order(state.endpoint, order, grant)
        outcome = decode_outcome(status)
        now = self._clock()
        state.ordered_at = now
        if outcome in (OrderOutcome.IN_FLIGHT, OrderOutcome.DONE):
            self._record_order(state, order, outcome, now)
        else:
            # The book is wrong somewhere: the next order waits for a report.
            state.require_report(now)
        log_decision(
            LOG,
            Decision.ORDER_GIVEN,
            endpoint=state.endpoint.id,
            order=kind.value,
            weights=str(key),
            fence=order.fence,
            expected=order.sequence,
            outcome=outcome.value,
        )
        return outcome

    async def _send_order(self, endpoint: Endpoint, order: Order, grant: Grant) -> int:
        """Return the status of an order's answer; raises ``EngineUnresponsive``."""
        body = encode_order(order)
        sends = 1
        while True:
            try:
                status, _ = await self._call(endpoint, "POST", ORDER_PATH, body, grant)
                return status
            except EngineUnreachable:
                raise
            except EngineUnresponsive as error:
                if sends == MAX_ORDER_SENDS:
                    raise
                sends += 1
                log_decision(
                    LOG,
                    Decision.ORDER_SENT_AGAIN,
                    endpoint=endpoint.id,
                    order=order.kind.value,
                    weights=str(order.weights),
                    reason=str(error),
                )

    def _record_order(
        self, state: EngineState, order: Order, outcome: OrderOutcome, now: Seconds
    ) -> None:
        key = order.weights
        if order.kind is OrderKind.UNLOAD:
            state.sequence = order.sequence + 1
            if outcome is OrderOutcome.DONE:
                state.record_unloaded(key)
        elif outcome is OrderOutcome.IN_FLIGHT and key not in state.incoming:
            state.sequence = order.sequence + 1
            state.incoming[key] = PendingLoad(state.sequence, now)

    async def _call(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        body: bytes,
        grant: Grant | None,
    ) -> tuple[int, bytes]:
        self._calls += 1
        request_id = f"{self._holder}-{self._calls}"
        headers = [
            ("Host", f"{endpoint.host}:{endpoint.port}"),
            (REQUEST_ID, request_id),
            *encode_request(CALL_TIMEOUT, endpoint.id, None, None),
        ]
        if method == "POST":
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        head = encode_head(method, path, headers)
        try:
            channel = await self._pool.acquire(endpoint)
        except NotConnected as error:
            raise EngineUnreachable(str(error)) from error
        keep = False
        try:
            # Checked with no pause before the bytes leave.
            if grant is not None and not grant.is_valid():
                raise OrderNotAllowed()
            async with asyncio.timeout(CALL_TIMEOUT):
                answer = await channel.send(head, body, None)
                content = await answer.read_all(MAX_REPORT_BYTES)
            channel.apply_keep_alive(answer, self._clock())
            keep = True
            return answer.status, content or b""
        except Unavailable:
            keep = True
            raise
        except (AnswerLost, AnswerTruncated, TimeoutError) as error:
            raise EngineUnresponsive(repr(error)) from error
        finally:
            self._pool.release(channel, keep=keep)
