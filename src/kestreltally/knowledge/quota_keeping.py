"""Chooses the keeper of each organisation's account, and answers as the keeper.

Every leader has all accounts. One of those whose accounts are complete keeps an
organisation's: the others send daemons to it. Its grants reach the other leaders as
spendings of its own group do, at once if they are many.
"""

from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, Final

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import OrganisationName, Seconds
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.feed_parts import FeedPart
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import QuotaAnswered
from kestreltally.quotas.grants import QuotaBounds
from kestreltally.quotas.order import Ask, OrderBook, Verdict
from kestreltally.quotas.spending import Keeper, Spending

# A leader that has not reported for this long is not chosen.
MAX_REPORT_AGE: Final[Seconds] = 0.7
# Verdicts that are remembered for questions that are sent again.
MAX_REMEMBERED: Final = 4_096
# Questions answered a second; daemons decide the others themselves, as without an
# answer. It bounds the processor time that a keeper spends on them.
MAX_ANSWERS_PER_SECOND: Final = 2_000

Question = tuple[str, int, int]


class QuotaKeeping(FeedPart):
    """Answers questions on requests, as the keeper of some accounts.

    ``relay_grants`` sends what this leader granted to the other leaders at once.
    """

    def __init__(
        self,
        vm: str,
        address: SocketAddress,
        bounds: QuotaBounds,
        leaders: Leaders,
        datagrams: DatagramPort,
        record_granted: Callable[[list[Spending]], None],
        relay_grants: Callable[[], None],
        clock: Callable[[], Seconds],
    ) -> None:
        self.orders = OrderBook(bounds)
        self.address = address
        self._vm = vm
        self._leaders = leaders
        self._datagrams = datagrams
        self._record_granted = record_granted
        self._relay_grants = relay_grants
        self._clock = clock
        # When each other leader with complete accounts reported.
        self._complete: dict[str, Seconds] = {}
        self._remembered: OrderedDict[Question, Verdict] = OrderedDict()
        self._counted_second = 0
        self._answered = 0
        datagrams.handlers["quota_asked"] = self._answer

    # Which leader keeps an account.

    def find_keeper(self, name: OrganisationName) -> Keeper | None:
        """Return the keeper of an account; None if no accounts are complete."""
        now = self._clock()
        candidates = {}
        if self._is_keeper(now):
            candidates[self._vm] = self.address
        for leader in self._leaders.list_reachable().values():
            reported_at = self._complete.get(leader.vm, float("-inf"))
            if now - reported_at <= MAX_REPORT_AGE:
                candidates[leader.vm] = leader.address
        if not candidates:
            return None
        chosen = max(candidates, key=lambda vm: _compute_weight(vm, name))
        return Keeper(candidates[chosen].host, candidates[chosen].port)

    def _is_keeper(self, now: Seconds) -> bool:
        return self._leaders.leads and self.orders.is_complete(now)

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Say whether this daemon's accounts are complete."""
        report.keeps_accounts = self._is_keeper(self._clock())

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record whether another leader's accounts are complete."""
        if peer.leads and report.keeps_accounts:
            self._complete[peer.vm] = self._clock()
        else:
            self._complete.pop(peer.vm, None)

    # Answers.

    def decide(self, ask: Ask) -> Verdict | None:
        """Decide on a request and record what is granted; None if not the keeper."""
        now = self._clock()
        if not self._is_keeper(now):
            return None
        verdict = self.orders.decide(ask, now)
        if verdict is not None and verdict.granted:
            self._record_granted([Spending(ask.organisation, 0, ask.units)])
            if self.orders.count_unrelayed(ask.organisation, ask.units):
                self._relay_grants()
        return verdict

    def _answer(self, message: Any, sender: SocketAddress) -> None:
        rows = []
        for asked in message.quota_asked:
            verdict = self._decide_once((message.vm, message.boot, asked.number), asked)
            if verdict is not None:
                rows.append(
                    QuotaAnswered(
                        number=asked.number,
                        granted=verdict.granted,
                        wait=verdict.wait,
                        reserved=verdict.reserved,
                    )
                )
        if rows:
            self._datagrams.send(sender, quota_answered=rows)

    def _decide_once(self, question: Question, asked: Any) -> Verdict | None:
        """Decide on a request; the same question again gets the same verdict."""
        known = self._remembered.get(question)
        if known is not None:
            return known
        if self._is_busy():
            return None
        name = OrganisationName(asked.organisation)
        verdict = self.decide(Ask(name, asked.content, asked.units, asked.patience))
        if verdict is not None:
            self._remembered[question] = verdict
            if len(self._remembered) > MAX_REMEMBERED:
                self._remembered.popitem(last=False)
        return verdict

    def _is_busy(self) -> bool:
        """Count a question, and return whether there are too many this second."""
        second = int(self._clock())
        if second != self._counted_second:
            self._counted_second, self._answered = second, 0
        self._answered += 1
        return self._answered > MAX_ANSWERS_PER_SECOND


def _compute_weight(vm: str, name: OrganisationName) -> bytes:
    """Return the weight of a leader for an organisation (rendezvous hashing)."""
    return blake2b(f"{vm}\0{name}".encode(), digest_size=8).digest()
