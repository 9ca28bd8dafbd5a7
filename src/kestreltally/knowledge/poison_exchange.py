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
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.rows import decode_facts, encode_facts
from kestreltally.poison.guard import PoisonGuard

# A leader that is heard anew gets what it does not know within this time.
REMAINING_FACTS_DELAY: Final[tuple[Seconds, Seconds]] = (0.2, 1.0)


class PoisonExchange(FeedPart):
    """Puts facts and the digests' secret into reports and updates, and takes them in.

    ``expedite`` has this daemon's news told at once, to followers or to the leader.
    """

    def __init__(
        self,
        poison: PoisonGuard,
        leaders: Leaders,
        expedite: Callable[[], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self._poison = poison
        self._leaders = leaders
        self._expedite = expedite
        self._clock = clock
        poison.register.notify_change = expedite

    def get_leader_secret(self) -> bytes:
        """Return the secret that a leader tells, empty where there is none yet."""
        return self._poison.secret.lead()

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Put in the secret, and what the leader that is followed still lacks."""
        report.secret = self._poison.secret.value
        if report.follows:
            facts = self._poison.register.news.list_unheard()
            encode_facts(report, facts, self._clock())

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Take in the secret, and, as a leader, what a daemon has seen."""
        self._poison.secret.take(report.secret)
        if not self._leaders.leads:
            return
        if self._poison.register.record_reported(decode_facts(report, self._clock())):
            self._expedite()

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Put in what the daemon has not been told yet."""
        news = self._poison.register.news
        if peer.sent_facts_position != news.position:
            facts = news.list_since(peer.sent_facts_position)
            encode_facts(update, facts, self._clock())
        peer.sent_facts_position = news.position

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Take in the secret, and what a leader was told."""
        self._poison.secret.take(received.update.secret)
        facts = decode_facts(received.update, self._clock())
        if not facts:
            return
        if received.followed:
            self._poison.register.news.note_echo(facts)
        if self._poison.register.record_reported(facts) and self._leaders.leads:
            self._expedite()

    def record_leader_contact(self, _: str) -> None:
        """Have a leader that is heard anew told what this daemon knows.

        Each daemon waits a drawn time with what others saw: the first one's telling is
        told back, and spares the rest theirs.
        """
        news = self._poison.register.news
        news.begin_telling()
        wait = random.uniform(*REMAINING_FACTS_DELAY)
        asyncio.get_running_loop().call_later(wait, news.tell_rest)
