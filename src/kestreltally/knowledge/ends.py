"""What daemons tell each other of requests that were at ends of endpoints.

A daemon reports what it saw to the leader it follows; leaders tell all that they have
been told to whoever is connected, once. So each fact reaches all daemons, by whichever
leaders there are.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.rows import decode_facts, encode_facts
from kestreltally.poison.guard import PoisonGuard

# A leader that is heard anew gets what it does not know within this time.
TELL_REST_AFTER: Final[tuple[Seconds, Seconds]] = (0.2, 1.0)


class EndsExchange:
    """Puts facts and the digests' secret into reports and updates, and takes them in.

    ``hurry`` has this daemon's news told at once, to followers or to the leader.
    """

    def __init__(
        self,
        poison: PoisonGuard,
        hurry: Callable[[], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._poison = poison
        self._hurry = hurry
        self._clock = clock
        poison.register.note_news = hurry

    @property
    def position(self) -> int:
        """Return up to where there is something to tell."""
        return self._poison.register.news.position

    def lead(self) -> bytes:
        """Return the secret that a leader tells, empty where there is none yet."""
        return self._poison.secret.lead()

    def fill_report(self, report: Any) -> None:
        """Put into a report what the leader has yet to be told."""
        facts = self._poison.register.news.list_unheard()
        encode_facts(report, facts, self._clock())

    def fill_update(self, update: Any, told: int) -> int:
        """Put into an update what came after a position; return the new position."""
        if told != self.position:
            facts = self._poison.register.news.list_since(told)
            encode_facts(update, facts, self._clock())
        return self.position

    def name_secret(self, report: Any) -> None:
        """Put the secret that is known here into a report."""
        report.secret = self._poison.secret.value

    def take_report(self, report: Any) -> None:
        """Take in, as a leader, what a daemon tells."""
        if self._poison.register.note_told(decode_facts(report, self._clock())):
            self._hurry()

    def take_secret(self, message: Any) -> None:
        """Take in the secret that another daemon knows."""
        self._poison.secret.take(message.secret)

    def take_update(self, update: Any, *, followed: bool, leads: bool) -> None:
        """Take in what a leader tells; ``followed`` tells that reports go to it."""
        self.take_secret(update)
        facts = decode_facts(update, self._clock())
        if not facts:
            return
        if followed:
            self._poison.register.news.note_echo(facts)
        if self._poison.register.note_told(facts) and leads:
            self._hurry()

    def note_leader_heard(self, _: str) -> None:
        """Have a leader that is heard anew told what this daemon knows.

        Each daemon waits a drawn time with what others saw: the first one's telling is
        told back, and spares the rest theirs.
        """
        news = self._poison.register.news
        news.begin_telling()
        wait = random.uniform(*TELL_REST_AFTER)
        asyncio.get_running_loop().call_later(wait, news.tell_rest)
