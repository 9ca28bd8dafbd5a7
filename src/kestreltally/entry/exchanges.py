"""Measures what is held for one exchange: a client's request, or one to an endpoint."""

import asyncio
from dataclasses import dataclass
from typing import Final, Protocol

from aiohttp import web

from kestreltally.entry.buffers import Held
from kestreltally.fleet.model import Seconds


class AnswerSource(Protocol):
    """An answer of which some bytes are held."""

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes received and not yet written to the client."""

    def apply_share(self, share: int, *, paused: bool) -> None:
        """Set how many bytes may be held, and whether to stop receiving more."""


class RequestSink(Protocol):
    """A channel to which a request is written."""

    @property
    def unsent(self) -> int:
        """Return the number of bytes that the endpoint has not taken."""

    def abort(self) -> None:
        """Close at once, dropping unsent bytes."""


@dataclass(slots=True)
class Stall:
    """Since when a receiver has taken nothing although something waits for it."""

    since: Seconds
    taken: int = 0

    def measure(self, taken: int, waiting: int, now: Seconds) -> Seconds:
        """Return how long the receiver has taken nothing, given what it has taken."""
        if not waiting or taken != self.taken:
            self.since = now
        self.taken = taken
        return now - self.since


@dataclass(slots=True, eq=False)
class Holding:
    """What is held for one client request, also after it was served.

    The transport is kept because aiohttp forgets one that it closes, although what was
    written is still being sent.
    """

    client: web.BaseRequest
    transport: asyncio.Transport | None
    request_id: str
    stall: Stall
    body: int = 0
    answer: AnswerSource | None = None
    closed_at: Seconds | None = None

    @property
    def unsent(self) -> int:
        """Return the number of bytes that the client has not taken."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def set_answer(self, answer: AnswerSource | None) -> None:
        """Count the bytes of an answer instead of those of an earlier one."""
        self.answer = answer

    def measure(self, now: Seconds) -> Held:
        """Return the bytes held, and how long the client has taken none."""
        unsent = self.unsent
        taken = self.client.writer.output_size - unsent
        received = self.answer.held_bytes if self.answer is not None else 0
        return Held(
            key=id(self),
            size=self.body + received + unsent,
            answer=received + unsent,
            stalled_for=self.stall.measure(taken, unsent, now),
        )


HOLDING: Final = web.RequestKey("holding", Holding)


def count_answer(client: web.BaseRequest, answer: AnswerSource) -> None:
    """Count the bytes of an answer as held for a client's request."""
    holding = client.get(HOLDING)
    if holding is not None:
        holding.set_answer(answer)


def measure_request(sink: RequestSink, stall: Stall, now: Seconds) -> Held:
    """Return the bytes of a request not taken yet, and how long none was taken."""
    unsent = sink.unsent
    return Held(id(sink), unsent, stalled_for=stall.measure(-unsent, unsent, now))
