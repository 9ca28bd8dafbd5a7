"""Sends orders to engines, one at a time per engine, and reads their reports.

An order names the engine's incarnation and its expected order count, so an order that
arrives late or reaches another incarnation has no effect. The effect of an unanswered
order is known from the next report; until then the adapter's place counts as occupied.
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

# Engines answer within some ms. Orders sent in the meantime are protected by their
# expected count. Must not exceed the transit time that the lease allows for an order.
CALL_TIMEOUT: Final[Seconds] = 0.2
# An unanswered order is resent at once: both name the same expected order count, so the
# engine executes at most one of them. A third of the answers may be lost for seconds;
# three attempts then leave one order in thirty unanswered.
MAX_ORDER_SENDS: Final = 3
MAX_REPORT_BYTES: Final = 2**20
# An engine's report is 100 to 200 ms old; after this time it covers earlier orders.
REPORT_LAG: Final[Seconds] = 0.3


class EngineUnresponsive(Exception):
    """The engine did not answer; an order may still be executed."""


class EngineUnreachable(EngineUnresponsive):
    """No connection to the engine could be opened: nothing was sent."""


class OrderNotAllowed(Exception):
    """The lease does not allow an order at this moment."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send an order under one fence of a lease."""

    lease: Lease
    fence: int

    def is_valid(self) -> bool:
        """Return whether the order can be sent at this moment."""
        return self.lease.can_order() and self.lease.fence == self.fence


class EngineClient:
    """Reads reports from engines and sends them orders under a lease."""

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
        """Return an engine's report.

        Raises ``EngineUnresponsive`` or ``Unavailable``.
        """
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
        """Send an order and record its outcome.

        Raises ``EngineUnresponsive`` or ``Unavailable``. Repeating a load polls its
        end: the engine's answer is current, unlike its report, and the repeat has no
        effect.
        """
        async with state.lock:
            return await self._order_locked(state, kind, key)

    async def _order_locked(
        self, state: EngineState, kind: OrderKind, key: WeightsKey
    ) -> OrderOutcome:
        if state.sequence is None:
            raise EngineUnresponsive("the engine's report must be read before an order")
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
            # The known state is wrong: the next order waits for a report.
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
        elif outcome is OrderOutcome.IN_FLIGHT and key not in state.pending_loads:
            state.sequence = order.sequence + 1
            state.pending_loads[key] = PendingLoad(state.sequence, now)

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
            # Checked without an await before the bytes are sent.
            if grant is not None and not grant.is_valid():
                raise OrderNotAllowed()
            async with asyncio.timeout(CALL_TIMEOUT):
                answer = await channel.send(head, body, request_id, is_own=True)
                content = await answer.read_all(MAX_REPORT_BYTES)
            channel.apply_keep_alive(answer, self._clock())
            keep = True
            return answer.status, content or b""
        except Unavailable:
            keep = True
            raise
        except (AnswerLost, AnswerTruncated, TimeoutError) as error:
            self._pool.contact.record_broken()
            raise EngineUnresponsive(repr(error)) from error
        finally:
            self._pool.release(channel, keep=keep)
