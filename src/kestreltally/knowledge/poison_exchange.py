"""Exchanges facts on suspected poison requests over the feed.

A fact states which request was at an endpoint when the endpoint ended. A daemon reports
what it observed to the leader it follows, and leaders send each reported fact once to
every connected daemon. So any reachable leader spreads the facts to all its daemons.
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

# Range of the random delay after which a newly reachable leader gets the facts that it
# does not have.
REMAINING_FACTS_DELAY: Final[tuple[Seconds, Seconds]] = (0.2, 1.0)


class PoisonExchange(FeedPart):
    """Sends and applies facts, and the secret under which digests are computed.

    ``expedite`` sends new facts at once, to the followers or to the leader.
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
        """Return the secret that a leader sends, empty if there is none yet."""
        return self._poison.secret.get_or_make()

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add the secret, and the facts that the followed leader lacks, to a report."""
        report.secret = self._poison.secret.value
        if report.follows:
            facts = self._poison.register.fact_log.list_unconfirmed()
            encode_facts(report, facts, self._clock())

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Apply the secret and, as a leader, the facts of a report."""
        self._poison.secret.apply(report.secret)
        if not self._leaders.leads:
            return
        if self._poison.register.record_reported(decode_facts(report, self._clock())):
            self._expedite()

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Add the facts that were not sent to the daemon yet."""
        fact_log = self._poison.register.fact_log
        if peer.sent_facts_position != fact_log.position:
            facts = fact_log.list_since(peer.sent_facts_position)
            encode_facts(update, facts, self._clock())
        peer.sent_facts_position = fact_log.position

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply the secret and the facts of an update."""
        self._poison.secret.apply(received.update.secret)
        facts = decode_facts(received.update, self._clock())
        if not facts:
            return
        if received.followed:
            self._poison.register.fact_log.record_echo(facts)
        if self._poison.register.record_reported(facts) and self._leaders.leads:
            self._expedite()

    def record_leader_contact(self, _: str) -> None:
        """Report the known facts to a leader that has become reachable.

        Each daemon waits a random time before it reports the facts of others: the
        leader echoes those of the first daemon, so that the others can omit them.
        """
        fact_log = self._poison.register.fact_log
        fact_log.start_reporting()
        wait = random.uniform(*REMAINING_FACTS_DELAY)
        asyncio.get_running_loop().call_later(wait, fact_log.report_remaining)
