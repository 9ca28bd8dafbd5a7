"""Turns at endpoints that name a limit: who asks whom for them, and what is told.

A daemon asks the leader it follows, a leader asks the one that leads the endpoint, each
in its reports, which go out at once where a request waits. Turns come back with updates
and are handed on the same way. That a leader is heard does not tell that its lease
holds: one that does not hold the endpoint's lease, and hears nobody who leads under it,
lends by itself to those that it hears, less (``placing/turns.py``). A daemon's cost is
by the endpoints that name a limit, not by the size of the fleet.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from kestreltally.fleet.limits import AHEAD, Lending, LimitStanding
from kestreltally.fleet.model import Endpoint, EndpointId, KnownNotice, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.feed import FeedServer
from kestreltally.knowledge.headcount import Headcount
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.parts import FeedPart, Heard
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.rows import (
    decode_notice,
    encode_notice,
    encode_turns,
    encode_wanted,
)
from kestreltally.placing.lease import Lease
from kestreltally.placing.turns import (
    Borrower,
    Terms,
    TurnLender,
    Wanted,
    find_leased_terms,
    find_unleased_terms,
)


class TurnExchange(FeedPart):
    """Puts wants and turns into reports and updates, and takes them in.

    ``note_turn`` is called with an endpoint at which a turn of this daemon's has come.
    """

    def __init__(
        self,
        fleet: Fleet,
        leases: Mapping[str, Lease],
        leaders: Leaders,
        find_lease: Callable[[Endpoint], Lease],
        feed: FeedServer,
        clock: Callable[[], Seconds],
    ) -> None:
        self._fleet = fleet
        self._notices = fleet.notices
        self._leaders = leaders
        self._find_lease = find_lease
        self._feed = feed
        self._clock = clock
        self._own = Borrower()
        self._lender = TurnLender(
            self._own, self._list_borrowers, self._take_own, clock
        )
        # Turns got from each leader since this daemon last connected to it.
        self._received: dict[str, Counter[EndpointId]] = {
            name: Counter() for name in leases
        }
        self._look: asyncio.TimerHandle | None = None
        self._headcount = Headcount()
        self.note_turn: Callable[[Endpoint], None] = lambda _: None
        self._notices.find_lending = self.find_lending
        self._notices.note_wanted = self._note_wanted

    # Who lends.

    def find_lending(self, endpoint: Endpoint) -> Lending:
        """Return who lends turns at an endpoint, as far as is known here.

        Any leader does, in its own right or another's.
        """
        heard = self._leaders.leads or self._leaders.find_primary() is not None
        return Lending(heard=heard, daemons=self._headcount.most)

    def note_daemons(self, count: int) -> None:
        """Take in how many daemons are heard by all leaders that are heard."""
        self._headcount.note(count, self._clock())

    def _lends(self, endpoint: Endpoint) -> bool:
        """Tell whether turns at an endpoint are lent here, not by another leader."""
        heard = self._leaders.is_heard(self._find_lease(endpoint).data_centre)
        return self._leads(endpoint) or (self._leaders.leads and not heard)

    def _leads(self, endpoint: Endpoint) -> bool:
        """Tell whether this daemon leads an endpoint, though its lease may be over."""
        return self._find_lease(endpoint).leads

    def _find_terms(self, endpoint: Endpoint, limit: LimitStanding) -> Terms:
        """Return how turns are lent here."""
        if self._find_lease(endpoint).holds_alone():
            return find_leased_terms(limit.rate)
        leads = self._leads(endpoint)
        heard = self._feed.count_daemons() if leads else self._feed.count_group()
        return find_unleased_terms(limit.rate, heard, self._headcount.most or 0)

    def _list_borrowers(self, endpoint: EndpointId) -> Iterator[Borrower]:
        yield self._own
        known = self._fleet.endpoints.get(endpoint)
        for peer in self._feed.list_followers():
            yield peer.borrower
        if known is not None and self._leads(known):
            for peer in self._feed.list_leaders():
                yield peer.borrower

    def lend(self) -> None:
        """Lend, as a leader, what may be lent now, and come back for the rest."""
        if self._look is not None:
            self._look.cancel()
            self._look = None
        limits = self._notices.list_limits()
        self._lender.forget(name for name, _, _ in limits)
        if not limits or not self._leaders.leads:
            return
        waits = []
        for name, born, limit in limits:
            known = self._fleet.endpoints.get(name)
            if known is None or not self._lends(known):
                continue
            self._own.wanted[name] = limit.list_wanted(self._clock())
            terms = self._find_terms(known, limit)
            wait = self._lender.lend(name, born, limit, terms)
            if wait is not None:
                waits.append(wait)
        if waits:
            loop = asyncio.get_running_loop()
            self._look = loop.call_later(min(waits), self.lend)
        self._tell_untold()

    def _tell_untold(self) -> None:
        followers = self._feed.list_followers()
        if any(p.borrower.untold for p in (*followers, *self._feed.list_leaders())):
            self._feed.hurry()

    def _take_own(self, endpoint: EndpointId, ends: Seconds) -> None:
        """Take a turn for this daemon's own calls."""
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return
        limit = self._notices.find_limit(endpoint, known.born)
        if limit is not None and ends > self._clock():
            limit.turns.append(ends)
            self._own.wanted[endpoint] = limit.list_wanted(self._clock())
            self.note_turn(known)

    # Asking.

    def _note_wanted(self, endpoint: EndpointId) -> None:
        """Ask at once for a turn that a request waits for."""
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return
        if self._lends(known):
            self.lend()
            return
        self._hurry(known)

    def _hurry(self, endpoint: Endpoint) -> None:
        """Have the next report to who lends, or asks for it, sent at once."""
        name: str | None = self._find_lease(endpoint).data_centre
        if not self._leaders.leads:
            name = self._leaders.find_primary()
        if name is not None:
            self._leaders.clients[name].hurry()

    def note_connected(self, data_centre: str) -> None:
        """Begin anew with a leader: it has lent nothing over this connection."""
        self._received[data_centre].clear()

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Put into a report which turns are wanted of a leader."""
        rows = []
        for name, wanted in self._list_wanted(data_centre):
            got = self._received[data_centre][name]
            rows.append(encode_wanted(name, wanted, got))
        report.wanted = rows

    def _list_wanted(self, data_centre: str) -> Iterable[tuple[EndpointId, Wanted]]:
        leads = self._leaders.leads
        if not leads and self._leaders.find_primary() not in (data_centre, None):
            return
        for name, _, limit in self._notices.list_limits():
            known = self._fleet.endpoints.get(name)
            if known is None:
                continue
            wanted = limit.list_wanted(self._clock())
            if leads:
                if self._find_lease(known).data_centre != data_centre:
                    continue
                self._own.wanted[name] = wanted
                wanted = self._lender.sum_open(name)
            yield name, wanted

    def take_report(self, peer: Peer, report: Any) -> None:
        """Take in which turns a daemon wants, and lend them or ask for them."""
        borrower = peer.borrower
        borrower.wanted = {}
        for row in report.wanted or ():
            name = EndpointId(row.endpoint)
            borrower.wanted[name] = dict(row.counts or {})
            borrower.received[name] = row.received
        if not self._leaders.leads:
            return
        for name, wanted in borrower.wanted.items():
            known = self._fleet.endpoints.get(name)
            # What nobody waits for is lent with the leader's next rounds.
            if known is None or all(urgency >= AHEAD for urgency in wanted):
                continue
            if self._lends(known):
                self.lend()
            else:
                self._hurry(known)

    # Telling.

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Put limits, and the turns lent to a daemon, into an update."""
        now = self._clock()
        known = self._notices.list_known(now)
        update.notices = [encode_notice(each) for each in known if each.limit_version]
        if peer.stamp is None:
            return
        update.echo = peer.stamp
        update.echo_age = now - peer.stamped_at
        update.turns = [
            encode_turns(name, [end - now for end in ends])
            for name, ends in peer.borrower.take_untold().items()
        ]

    def take_update(self, heard: Heard) -> None:
        """Take in limits and turns that a leader tells."""
        update = heard.update
        relies = heard.followed and not self._leaders.leads
        for row in update.notices or ():
            told = decode_notice(row)
            self._notices.take_limit_told(told, self._clock())
            self._take_wait(told, heard.led, relies=relies)
        if update.turns and update.echo is not None:
            # Counted from when this daemon reported: no word that comes late, for what
            # reason ever, lends more time than its sender gave.
            sent_at = update.echo + update.echo_age
            self._take_turns(heard.data_centre, update, sent_at)

    def _take_wait(
        self, told: KnownNotice, led: frozenset[str], *, relies: bool
    ) -> None:
        """Take in how long calls wait for turns, from who lends them or tells on."""
        known = self._fleet.endpoints.get(told.endpoint)
        limit = self._notices.find_limit(told.endpoint, told.born)
        if known is None or limit is None:
            return
        if relies or self._find_lease(known).data_centre in led:
            limit.wait = told.turn_wait

    def _take_turns(self, data_centre: str, update: Any, sent_at: Seconds) -> None:
        for row in update.turns:
            name = EndpointId(row.endpoint)
            ends = [sent_at + lasts for lasts in row.lasts]
            self._received[data_centre][name] += len(ends)
            known = self._fleet.endpoints.get(name)
            limit = self._notices.find_limit(name, known.born) if known else None
            if limit is None:
                continue
            if self._leaders.leads:
                self._own.wanted[name] = limit.list_wanted(self._clock())
                self._lender.hand_on(name, ends)
            else:
                for end in ends:
                    self._take_own(name, end)
        if self._leaders.leads:
            self._tell_untold()
