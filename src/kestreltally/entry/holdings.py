"""Counts what this daemon holds for clients and endpoints, and keeps it in a limit.

Counted are request bodies, bytes of requests that endpoints have not taken, bytes of
answers that were received, and bytes of answers that clients have not taken.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from aiohttp import web

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.buffers import (
    UNREAD_TIMEOUT,
    Held,
    Relief,
    compute_share,
    decide_relief,
)
from kestreltally.entry.channel_protocol import RECEIVE_BYTES, ChannelProtocol
from kestreltally.entry.exchanges import (
    HOLDING,
    Holding,
    RequestSink,
    Stall,
    measure_request,
)
from kestreltally.entry.request import RETRY_DELAY, Refused
from kestreltally.fleet.model import Seconds
from kestreltally.sockets import bound_kernel_unsent

LOG = logging.getLogger("kestreltally.holdings")

UNAVAILABLE: Final = 503
# How long receiving is paused before the request's task has seen the answer's head.
EARLY_PAUSE: Final[Seconds] = 0.05
# The next review comes after bytes that make up this fraction of the limit.
REVIEW_FRACTION: Final = 1 / 64


@dataclass(slots=True)
class Totals:
    """The bytes held, by what they are held for, at the last review.

    ``unanswered`` counts the requests of which no answer has arrived yet. Each will
    hold what is received at once before its source can be paused.
    """

    bodies: int = 0
    answers: int = 0
    requests: int = 0
    unanswered: int = 0

    @property
    def all(self) -> int:
        """Return the number of all bytes held."""
        return self.bodies + self.answers + self.requests

    @property
    def expected(self) -> int:
        """Return the number of bytes held, and soon to be held for running requests."""
        return self.all + RECEIVE_BYTES * self.unanswered


@dataclass(slots=True)
class Counts:
    """How often requests were refused, and exchanges ended, for want of memory."""

    refused: int = 0
    unread_answers: int = 0
    unread_requests: int = 0

    def describe(self) -> dict[str, float]:
        """Return the counts by name."""
        return {
            "requests_refused": self.refused,
            "answers_unread": self.unread_answers,
            "requests_unread": self.unread_requests,
        }


@dataclass(slots=True)
class Holdings:
    """The bytes held for all exchanges; a ``limit`` of 0 bytes switches this off."""

    limit: int
    clock: Callable[[], Seconds]
    totals: Totals = field(default_factory=Totals)
    counts: Counts = field(default_factory=Counts)
    _holdings: set[Holding] = field(default_factory=set)
    _sending: dict[RequestSink, Stall] = field(default_factory=dict)
    _paused_early: dict[ChannelProtocol, Seconds] = field(default_factory=dict)
    _grown: int = 0
    _share: int = 0

    def __post_init__(self) -> None:
        """Start with room for all."""
        self._share = compute_share(0, self.limit)

    def open(self, client: web.BaseRequest, request_id: str) -> Holding:
        """Count what is held for a request, until ``close`` and all of it is sent."""
        holding = Holding(client, client.transport, request_id, Stall(self.clock()))
        client[HOLDING] = holding
        if self.limit:
            self._holdings.add(holding)
            self._set_write_limit(holding, self._share)
            if holding.transport is not None:
                bound_kernel_unsent(holding.transport)
        return holding

    def close(self, holding: Holding) -> None:
        """End a request; what its client has yet to take stays counted."""
        holding.body = 0
        holding.set_answer(None)
        holding.closed_at = self.clock()

    def reserve(self, holding: Holding, size: int) -> None:
        """Count bytes of a request's body; raises ``Refused`` if they don't fit."""
        if not self.limit:
            return
        needed = size + RECEIVE_BYTES
        if self.totals.expected + self._grown + needed > self.limit:
            self.review()
        if self.totals.expected + needed > self.limit:
            self.counts.refused += 1
            raise Refused(
                UNAVAILABLE,
                f"no memory: {self.totals.expected} of {self.limit} bytes used, "
                f"{needed} more needed",
                RETRY_DELAY,
            )
        holding.body += size
        self._record_growth(size + RECEIVE_BYTES)

    def start_sending(self, sink: RequestSink) -> None:
        """Count what an endpoint has yet to take of a request."""
        if self.limit:
            self._sending[sink] = Stall(self.clock())

    def end_sending(self, sink: RequestSink) -> None:
        """Stop counting a channel, because its request has ended."""
        self._sending.pop(sink, None)

    def record_received(self, protocol: ChannelProtocol, size: int) -> None:
        """Count bytes received from an endpoint, and pause it if room is short.

        The answer may not be known yet: the request's task runs only later.
        """
        self._record_growth(size)
        total = self.totals.all + self._grown
        if compute_share(total, self.limit) < RECEIVE_BYTES:
            protocol.set_held(True)
            self._paused_early[protocol] = self.clock()

    def _record_growth(self, size: int) -> None:
        self._grown += size
        if self._grown > REVIEW_FRACTION * self.limit:
            self.review()

    @property
    def has_unsent(self) -> bool:
        """Return whether some client that reads has yet to take all of its answer."""
        stalled_before = self.clock() - UNREAD_TIMEOUT
        return any(
            each.unsent and each.stall.since > stalled_before for each in self._holdings
        )

    def review(self) -> None:
        """Measure all that is held, pause sources, and end what nobody reads."""
        self._grown = 0
        if not self.limit:
            return
        now = self.clock()
        self._drop_delivered(now)
        self._resume_early(now)
        answers = {each.measure(now): each for each in self._holdings}
        requests = {
            measure_request(sink, stall, now): sink
            for sink, stall in self._sending.items()
        }
        self._record_totals(answers, requests)
        relief = decide_relief([*answers, *requests], self.limit)
        self._share = relief.share
        for held, holding in answers.items():
            self._apply(relief, held, holding)
        for held, sink in requests.items():
            if held.key in relief.ended:
                self.counts.unread_requests += 1
                self._log_end("endpoint", "", held)
                sink.abort()

    def describe(self) -> dict[str, float]:
        """Return the bytes held by what they are held for, and their limit."""
        return {
            "request_bodies": self.totals.bodies,
            "answers": self.totals.answers,
            "requests_to_endpoints": self.totals.requests,
            "limit": self.limit,
        }

    def _drop_delivered(self, now: Seconds) -> None:
        """Forget requests that have ended and whose answers were sent."""
        for holding in list(self._holdings):
            ended = holding.closed_at is not None and holding.closed_at < now
            if ended and not holding.unsent:
                self._holdings.discard(holding)

    def _resume_early(self, now: Seconds) -> None:
        """Resume what was paused before its answer was known; it is counted by now."""
        for protocol, since in list(self._paused_early.items()):
            if now - since >= EARLY_PAUSE:
                protocol.set_held(False)
                del self._paused_early[protocol]

    def _record_totals(
        self, answers: dict[Held, Holding], requests: dict[Held, RequestSink]
    ) -> None:
        bodies = sum(each.body for each in answers.values())
        self.totals.bodies = bodies
        self.totals.answers = sum(each.size for each in answers) - bodies
        self.totals.requests = sum(each.size for each in requests)
        self.totals.unanswered = sum(
            each.answer is None and each.closed_at is None for each in answers.values()
        )

    def _apply(self, relief: Relief, held: Held, holding: Holding) -> None:
        if held.key in relief.ended:
            self.counts.unread_answers += 1
            self._log_end("client", holding.request_id, held)
            if holding.transport is not None:
                holding.transport.abort()
            return
        self._set_write_limit(holding, relief.share)
        if holding.answer is not None:
            holding.answer.apply_share(relief.share, paused=held.key in relief.paused)

    def _set_write_limit(self, holding: Holding, size: int) -> None:
        """Bound what may be written to a client before it takes some of it."""
        transport = holding.transport
        if transport is not None and not transport.is_closing():
            transport.set_write_buffer_limits(high=size)

    def _log_end(self, receiver: str, request_id: str, held: Held) -> None:
        log_decision(
            LOG,
            Decision.UNREAD_ENDED,
            receiver=receiver,
            request=request_id,
            held=held.size,
            stalled_for=round(held.stalled_for, 3),
            all_held=self.totals.all,
            limit=self.limit,
        )
