"""Obtains turns for this daemon's prompts at engines.

A turn is a hint: if whoever issues an engine's turns does not answer, the prompt is
sent without one. The daemon always sends its whole list of prompts at an engine, so a
lost message is made up for by the next one.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.events import wait_at_most
from kestreltally.fleet.model import EndpointId, Seconds

LOG = logging.getLogger("kestreltally.pacing")

# Datagrams take a few milliseconds; a busy machine may need ten times that.
FIRST_ANSWER_TIMEOUT: Final[Seconds] = 0.04
# Lists are sent again at this interval, and each is answered.
RESEND_INTERVAL: Final[Seconds] = 0.2
ANSWER_TIMEOUT: Final[Seconds] = 0.3
# Prompts in a list: as many as a datagram holds.
MAX_LISTED: Final = 12
# An expected wait is an estimate: a prompt is only refused if this fraction of it would
# already be too long.
REFUSAL_FRACTION: Final = 0.8


@dataclass(frozen=True, slots=True)
class PromptNeed:
    """What a prompt needs of an engine.

    ``tokens`` are its uncached prompt tokens and ``urgency`` 0 is the most urgent.
    Reading has to begin by ``begin_by`` for its objective, and by ``give_up_at`` before
    its client leaves. ``organisation`` is empty if it belongs to none. ``request`` is
    the id of its request, for log lines.
    """

    tokens: int
    urgency: int
    organisation: str
    begin_by: Seconds
    give_up_at: Seconds
    request: str = ""


@dataclass(slots=True, eq=False)
class Ask:
    """A prompt that waits for its turn, or that is being read (``reading``).

    ``wait`` is the issuer's latest estimate, None before its first answer, and
    ``logged`` says that the wait has been logged.
    """

    number: int
    need: PromptNeed
    asked_at: Seconds
    reading: bool = False
    wait: Seconds | None = None
    logged: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class TurnTooLate(Exception):
    """A prompt's turn is expected only after its client has left."""

    def __init__(self, wait: Seconds) -> None:
        super().__init__(f"turn at the engine expected in {wait:.1f} s")
        self.wait = wait


class Turn:
    """A prompt's turn at an engine, until its first event has arrived.

    ``granted`` is false if nobody answered: others may be read at the same time.
    """

    def __init__(
        self, end: Callable[[], None], waited: Seconds, *, granted: bool
    ) -> None:
        self._end = end
        self.waited = waited
        self.granted = granted

    def end(self) -> None:
        """Let the next prompt begin; calls after the first have no effect."""
        end, self._end = self._end, lambda: None
        end()


class TurnTable:
    """This daemon's prompts at each engine.

    ``send_list`` sends the list of an engine's prompts to the issuer of its turns, and
    returns whether there is one.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._asks: dict[EndpointId, dict[int, Ask]] = {}
        self._numbers = count(1)
        self._emptied: set[EndpointId] = set()
        self._resend_timer: asyncio.TimerHandle | None = None
        self.send_list: Callable[[EndpointId, Sequence[Ask]], bool]
        self.granted = 0
        self.unanswered = 0
        self.too_late = 0

    def count_waiting(self) -> int:
        """Return how many prompts wait for their turn."""
        return sum(
            not ask.reading for asks in self._asks.values() for ask in asks.values()
        )

    async def obtain(self, endpoint: EndpointId, need: PromptNeed) -> Turn:
        """Wait for a prompt's turn; raises ``TurnTooLate``."""
        ask = Ask(next(self._numbers), need, self._clock())
        self._asks.setdefault(endpoint, {})[ask.number] = ask
        try:
            granted = await self._wait(endpoint, ask)
        except BaseException:
            self._remove(endpoint, ask)
            raise
        ask.reading = True
        return Turn(
            lambda: self._remove(endpoint, ask),
            self._clock() - ask.asked_at,
            granted=granted,
        )

    async def _wait(self, endpoint: EndpointId, ask: Ask) -> bool:
        """Wait until a prompt may be sent; return whether its turn was granted."""
        if not self._send(endpoint):
            return False
        is_repeated = False
        while not ask.reading:
            ask.changed.clear()
            timeout = FIRST_ANSWER_TIMEOUT if ask.wait is None else ANSWER_TIMEOUT
            if await wait_at_most(ask.changed, timeout):
                is_repeated = False
                self._check_wait(endpoint, ask)
            elif is_repeated or ask.wait is not None:
                self.unanswered += 1
                log_decision(
                    LOG,
                    Decision.TURN_UNANSWERED,
                    request=ask.need.request,
                    endpoint=endpoint,
                )
                return False
            else:
                is_repeated = True
                if not self._send(endpoint):
                    return False
        self.granted += 1
        return True

    def _check_wait(self, endpoint: EndpointId, ask: Ask) -> None:
        """Raise ``TurnTooLate`` if a prompt's client will have left before its turn."""
        if ask.reading or ask.wait is None:
            return
        if not ask.logged:
            ask.logged = True
            log_decision(
                LOG,
                Decision.TURN_WAITS,
                request=ask.need.request,
                organisation=ask.need.organisation or None,
                endpoint=endpoint,
                tokens=ask.need.tokens,
                wait=round(ask.wait, 3),
                left=round(ask.need.give_up_at - self._clock(), 3),
            )
        if self._clock() + REFUSAL_FRACTION * ask.wait <= ask.need.give_up_at:
            return
        self.too_late += 1
        log_decision(
            LOG,
            Decision.TURN_TOO_LATE,
            request=ask.need.request,
            endpoint=endpoint,
            wait=round(ask.wait, 3),
            left=round(ask.need.give_up_at - self._clock(), 3),
        )
        raise TurnTooLate(ask.wait)

    def apply_answer(
        self, endpoint: EndpointId, granted: Sequence[int], waits: dict[int, Seconds]
    ) -> None:
        """Apply an issuer's answer: granted turns and expected waits, by number."""
        asks = self._asks.get(endpoint, {})
        for number in granted:
            if number in asks and not asks[number].reading:
                asks[number].reading = True
                asks[number].changed.set()
        # Asks beyond the length of a list are not answered one by one.
        last_wait = max(waits.values(), default=0.0)
        for ask in asks.values():
            if not ask.reading:
                ask.wait = waits.get(ask.number, max(last_wait, ask.wait or 0.0))
                ask.changed.set()

    def _remove(self, endpoint: EndpointId, ask: Ask) -> None:
        asks = self._asks.get(endpoint, {})
        asks.pop(ask.number, None)
        if not asks:
            self._asks.pop(endpoint, None)
            self._emptied.add(endpoint)
        self._send(endpoint)

    def _send(self, endpoint: EndpointId) -> bool:
        """Send an engine's prompts to the issuer of its turns, now and regularly."""
        if self._resend_timer is None:
            loop = asyncio.get_running_loop()
            self._resend_timer = loop.call_later(RESEND_INTERVAL, self._resend)
        asks = self._asks.get(endpoint, {}).values()
        # Prompts that are being read come first: an issuer assumes that a prompt that
        # is missing from the list has been read.
        listed = sorted(asks, key=lambda each: not each.reading)[:MAX_LISTED]
        return self.send_list(endpoint, listed)

    def _resend(self) -> None:
        self._resend_timer = None
        # An empty list is sent twice, as a lost one would leave others waiting.
        emptied, self._emptied = self._emptied, set()
        for endpoint in {**self._asks, **dict.fromkeys(emptied)}:
            self._send(endpoint)
