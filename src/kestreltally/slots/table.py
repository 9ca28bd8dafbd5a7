"""Obtains slots at brittle endpoints for this daemon's requests.

No request is sent to such an endpoint without a slot. While nobody answers who lends
them, for instance because the leader is lost, a daemon goes on with the slots that it
has, and tries for more so rarely that all daemons together stay below the number of
rejections that the endpoint bears.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import count
from typing import Final

from kestreltally.events import wait_at_most
from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.rates import Bucket
from kestreltally.slots.issuer import SlotAnswer
from kestreltally.slots.line import SlotList, WaitingRequest
from kestreltally.slots.overloads import Overloads
from kestreltally.slots.requests import Ask, EndpointRequests

# An issuer that has not answered for this long is silent; datagrams take some ms.
SILENCE_TIMEOUT: Final[Seconds] = 0.25
# Lists are sent again at these intervals, until they are answered and after that.
RESEND_INTERVAL: Final[Seconds] = 0.05
REPORT_INTERVAL: Final[Seconds] = 0.2
# A silent issuer counts this daemon's slots as lent for longer than this.
IDLE_TTL: Final[Seconds] = 7.0
# Changes within this time are sent in one list.
MIN_SEND_INTERVAL: Final[Seconds] = 0.005
# Waiting requests that are listed; the list is sent again as they get slots.
MAX_LISTED: Final = 8
# An answer this old no longer tells how long a new request would wait.
MAX_ANSWER_AGE: Final[Seconds] = 0.3
# A request looks at least this often whether its endpoints still serve.
POLL_INTERVAL: Final[Seconds] = 0.1


@dataclass(frozen=True, slots=True)
class SlotNeed:
    """What a request needs: ``urgency`` 0 is the most urgent.

    A new request whose slot is expected after ``begin_by`` is refused at once. Its
    client leaves at ``give_up_at``, by which ``is_whole`` requests must have ended.
    """

    urgency: int
    begin_by: Seconds
    give_up_at: Seconds
    is_whole: bool


class SlotTooLate(Exception):
    """A request's slot is expected too late, after ``wait``, None if nobody knows."""

    def __init__(self, wait: Seconds | None) -> None:
        known = f"for {wait:.2f} s" if wait is not None else "that is known of"
        super().__init__(f"no room at any endpoint {known}")
        self.wait = wait


class Slot:
    """A slot at an endpoint, held until its context ends.

    ``rejected`` means that the endpoint had no room for its request after all.
    """

    def __init__(self, endpoint: EndpointId, end: Callable[[bool], None]) -> None:
        self.endpoint = endpoint
        self.rejected = False
        self._end = end

    def __enter__(self) -> None:
        """Hold the slot."""

    def __exit__(self, *_: object) -> None:
        """Give the slot back."""
        self._end(self.rejected)


class SlotTable:
    """This daemon's slots, and its requests that wait for one.

    ``send_list`` sends the list of an endpoint to its issuer, and returns whether there
    is one. ``is_serving`` returns whether an endpoint may still get requests.
    ``get_trial_rate`` returns how many requests a second may be tried without a slot.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._states: dict[EndpointId, EndpointRequests] = {}
        self._numbers = count(1)
        self._changed: set[EndpointId] = set()
        self._timer: asyncio.TimerHandle | None = None
        self.send_list: Callable[[EndpointId, SlotList, int], bool]
        self.is_serving: Callable[[EndpointId], bool] = lambda _: True
        self.get_trial_rate: Callable[[EndpointId], float] = lambda _: 0.0
        self.overloads = Overloads(clock)
        self.obtained = 0
        self.too_late = 0
        self.tried = 0

    def count_waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(len(each.waiting) for each in self._states.values())

    # Requests.

    async def obtain(
        self, endpoints: Sequence[EndpointId], need: SlotNeed
    ) -> Slot | None:
        """Return a slot at any of some endpoints, the first preferred.

        Return None if none of them serves any more; raises ``SlotTooLate``. The next
        endpoint is asked once those before it have no slot at once.
        """
        self._check_known_waits(endpoints, need)
        changed = asyncio.Event()
        remaining = deque(endpoints)
        asks: dict[EndpointId, Ask] = {}
        try:
            while True:
                slot = self._find_slot(asks)
                if slot is not None:
                    self.obtained += 1
                    return slot
                self._drop_gone(asks)
                if remaining and all(each.is_answered for each in asks.values()):
                    endpoint = remaining.popleft()
                    if self.is_serving(endpoint):
                        asks[endpoint] = self._ask(endpoint, need, changed)
                    continue
                if not asks:
                    return None
                self._check_wait(asks, need)
                changed.clear()
                await wait_at_most(changed, POLL_INTERVAL)
        finally:
            for endpoint, ask in asks.items():
                self._end(endpoint, ask, False)

    def _ask(self, endpoint: EndpointId, need: SlotNeed, changed: asyncio.Event) -> Ask:
        ask = Ask(next(self._numbers), need.urgency, self._clock(), changed)
        state = self._states.setdefault(endpoint, EndpointRequests())
        state.asks[ask.number] = ask
        changed.set()
        self._notify_changed(endpoint)
        self._lend_kept(endpoint, state)
        return ask

    def _find_slot(self, asks: dict[EndpointId, Ask]) -> Slot | None:
        """Return the slot of a request that has got one, and leave the others."""
        for endpoint, ask in asks.items():
            if ask.slot is not None:
                del asks[endpoint]
                return Slot(endpoint, partial(self._end, endpoint, ask))
        return None

    def _drop_gone(self, asks: dict[EndpointId, Ask]) -> None:
        gone = [each for each in asks if not self.is_serving(each)]
        for endpoint in gone:
            self._end(endpoint, asks.pop(endpoint), False)

    def _end(self, endpoint: EndpointId, ask: Ask, rejected: bool) -> None:
        """Remove a request, and give its slot back or keep it for the next one."""
        state = self._states[endpoint]
        del state.asks[ask.number]
        if rejected:
            state.rejected += 1
            state.tried.discard(ask.slot or 0)
            self.overloads.record_rejected(endpoint)
        elif ask.slot is not None and self._is_silent(state):
            state.idle.add(ask.slot)
            self._lend_kept(endpoint, state)
        elif ask.slot is not None:
            state.given_back[ask.slot] = state.serial + 1
        self._notify_changed(endpoint)

    def _check_known_waits(
        self, endpoints: Sequence[EndpointId], need: SlotNeed
    ) -> None:
        """Raise ``SlotTooLate`` if a new request is known to wait too long."""
        now = self._clock()
        waits = []
        for endpoint in endpoints:
            state = self._states.get(endpoint)
            if state is None or now - state.answered_at > MAX_ANSWER_AGE:
                return
            waits.append(state.predict_wait(len(state.waiting)))
        wait = min(waits, default=0.0)
        if now + wait > need.begin_by:
            self.too_late += 1
            raise SlotTooLate(wait)

    def _check_wait(self, asks: dict[EndpointId, Ask], need: SlotNeed) -> None:
        """Raise ``SlotTooLate`` if no slot is expected in time."""
        now = self._clock()
        known = [
            state.predict_wait(state.count_before(ask))
            for endpoint, ask in asks.items()
            if not self._is_silent(state := self._states[endpoint])
            and state.answer is not None
        ]
        wait = min(known, default=None)
        latest = need.give_up_at
        if need.is_whole:
            latest -= min(self._states[each].duration for each in asks)
        is_new = now < need.begin_by and len(known) == len(asks)
        expected_at = now + (wait or 0.0)
        if now > latest or (is_new and expected_at > min(need.begin_by, latest)):
            self.too_late += 1
            raise SlotTooLate(wait)

    # Exchange with the issuers.

    def _notify_changed(self, endpoint: EndpointId) -> None:
        """Send an endpoint's list at once, or soon if one has just been sent."""
        loop = asyncio.get_running_loop()
        if not self._changed:
            sent_ago = self._clock() - self._states[endpoint].sent_at
            loop.call_later(max(0.0, MIN_SEND_INTERVAL - sent_ago), self._send_changed)
        self._changed.add(endpoint)
        if self._timer is None:
            self._timer = loop.call_later(RESEND_INTERVAL, self._run_due)

    def _send_changed(self) -> None:
        changed, self._changed = self._changed, set()
        for endpoint in changed:
            state = self._states.get(endpoint)
            if state is not None:
                self._send(endpoint, state)

    def _send(self, endpoint: EndpointId, state: EndpointRequests) -> None:
        now = self._clock()
        state.serial += 1
        state.sent_at = now
        if state.unanswered_since is None:
            state.unanswered_since = now
        waiting = state.waiting
        listed = SlotList(
            held=state.held,
            waiting=tuple(
                WaitingRequest(each.number, each.urgency, each.asked_at)
                for each in waiting[:MAX_LISTED]
            ),
            queued=len(waiting),
            rejected=state.rejected,
        )
        if not self.send_list(endpoint, listed, state.serial):
            state.unanswered_since = now - SILENCE_TIMEOUT
            self._keep_given_back(endpoint, state)

    def apply_answer(self, endpoint: EndpointId, answer: SlotAnswer) -> None:
        """Apply an issuer's answer."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.answer = answer
        state.answered_at = self._clock()
        state.unanswered_since = (
            None if answer.serial >= state.serial else state.sent_at
        )
        state.trials = None
        state.tried.clear()
        state.given_back = {
            number: serial
            for number, serial in state.given_back.items()
            if serial > answer.serial
        }
        self.overloads.record_count(endpoint, answer.rejected)
        for number in answer.numbers:
            ask = state.asks.get(number)
            if ask is not None and ask.slot is None:
                ask.slot = number
                ask.changed.set()
        for ask in state.asks.values():
            if not ask.is_answered:
                ask.is_answered = True
                ask.changed.set()
        if state.idle:
            state.idle.clear()
            self._notify_changed(endpoint)

    def _run_due(self) -> None:
        """Send lists again that were not answered, or regularly."""
        self._timer = None
        now = self._clock()
        for endpoint, state in list(self._states.items()):
            if self._is_silent(state):
                self._keep_given_back(endpoint, state)
            since = state.unanswered_since
            is_used = state.asks or state.idle or state.given_back
            if not is_used and (since is None or now - since > IDLE_TTL):
                del self._states[endpoint]
                continue
            interval = REPORT_INTERVAL if since is None else RESEND_INTERVAL
            if now - state.sent_at >= interval:
                self._send(endpoint, state)
        if self._states and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RESEND_INTERVAL, self._run_due)

    # Without an issuer.

    def _is_silent(self, state: EndpointRequests) -> bool:
        since = state.unanswered_since
        return since is not None and self._clock() - since >= SILENCE_TIMEOUT

    def _keep_given_back(self, endpoint: EndpointId, state: EndpointRequests) -> None:
        """Use the slots further that a silent issuer has not noticed to be free."""
        state.idle |= state.given_back.keys()
        state.given_back.clear()
        assert state.unanswered_since is not None
        if self._clock() - state.unanswered_since > IDLE_TTL:
            state.idle &= state.tried
        self._lend_kept(endpoint, state)

    def _lend_kept(self, endpoint: EndpointId, state: EndpointRequests) -> None:
        """Lend kept slots to waiting requests while the issuer is silent."""
        if not self._is_silent(state):
            return
        for ask in state.waiting:
            if state.idle:
                ask.slot = state.idle.pop()
            elif self._may_try(endpoint, state):
                self.tried += 1
                ask.slot = ask.number
                state.tried.add(ask.number)
            else:
                ask.is_answered = True
            ask.changed.set()

    def _may_try(self, endpoint: EndpointId, state: EndpointRequests) -> bool:
        """Return whether a request may be sent although nobody lends it a slot."""
        rate = self.get_trial_rate(endpoint)
        if state.trials is None:
            # Daemons that lose the same issuer do not try at the same moment.
            state.trials = Bucket(self._clock(), -1.0 - random.random())
        return rate > 0 and state.trials.acquire(1, rate, 1.0, self._clock())
