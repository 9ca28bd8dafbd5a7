"""A leader's account of what organisations spend, and its word on those at their limit.

Each leader hears of all daemons' spendings within some 0.4 s: its own daemons report to
it, and the other leaders report theirs summed up. So every leader has the whole account
and none needs another's leave; one that is lost takes nothing with it but the spendings
that were on their way.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Organisation, OrganisationName, Seconds
from kestreltally.quotas.grants import Grant, QuotaBounds
from kestreltally.quotas.spending import SHARE_AVERAGE_TIME, Spending, Throttle
from kestreltally.rates import RateMeter

# An organisation spends freely while less than this part of what it may spend at once
# is used up. What it asks for in the 0.5 s until all daemons know better comes on top,
# and so do large requests.
FREE_FRACTION: Final = 0.3
# What the ratio steers to, as a part of that, and within which time.
TARGET_FRACTION: Final = 0.5
CORRECTION_TIME: Final[Seconds] = 1.0
# How long it takes until all daemons act upon what was spent: a report, another
# leader's report and an update, each up to 0.2 s.
THROTTLE_DELAY: Final[Seconds] = 0.4
# All that ask at all are named this often, so that daemons know their share of each
# should they lose the leaders' word.
FULL_REPORT_INTERVAL: Final[Seconds] = 1.0
# Over how long the rate that is asked for is taken: two to three reports.
RATE_TIME: Final[Seconds] = 0.5
# Over how long it is taken how many daemons are heard as a rule. As daemons turned to
# other leaders for a moment they were counted twice; where the most in the last 8 s was
# taken as the rule, an organisation at its limit got half of it for 8 s after.
DAEMON_COUNT_TIME: Final[Seconds] = 20.0
# The least that is told as the time until an organisation is below its limit.
MIN_WAIT: Final[Seconds] = 0.2


@dataclass(slots=True)
class Account:
    """What an organisation spent: ``used`` units of its burst, draining at its rate.

    ``asked`` and ``granted`` are what it asks for and gets now, ``long_term_asked`` what it asked
    for over the time of daemons' own shares.
    """

    asked: RateMeter
    granted: RateMeter
    long_term_asked: RateMeter
    at: Seconds
    used: float = 0.0

    def settle(self, rate: float, now: Seconds) -> None:
        """Let what was used drain up to a moment."""
        self.used = max(0.0, self.used - rate * max(0.0, now - self.at))
        self.at = now

    def predict(self, rate: float, now: Seconds) -> float:
        """Return what will be used up once daemons act upon a word of now."""
        grows = self.granted.read(now) - rate
        return max(self.used, self.used + grows * THROTTLE_DELAY)


class Ledger:
    """The accounts of all organisations that have a quota."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._grants: dict[OrganisationName, Grant] = {}
        self._accounts: dict[OrganisationName, Account] = {}
        self._usual_daemons: float | None = None
        self._counted_at: Seconds = 0.0
        self._missing = 0.0
        self._all_reported_at: Seconds = float("-inf")

    def apply_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Put quotas in force; accounts go on, for a new limit binds at once."""
        self._grants = {
            each.name: self._bounds.compute_grant(each.quota)
            for each in organisations
            if each.quota is not None
        }
        for name in self._accounts.keys() - self._grants.keys():
            del self._accounts[name]

    def record(self, spendings: Iterable[Spending], now: Seconds) -> None:
        """Take in what some daemons granted."""
        for each in spendings:
            grant = self._grants.get(each.organisation)
            if grant is None:
                continue
            account = self._accounts.get(each.organisation)
            if account is None:
                account = _open_account(now)
                self._accounts[each.organisation] = account
            account.settle(self._compute_rate(grant), now)
            account.used = max(0.0, account.used + each.granted)
            account.asked.add(each.asked, now)
            account.granted.add(each.granted, now)
            account.long_term_asked.add(each.asked, now)

    def record_daemon_count(self, connected: int, now: Seconds) -> None:
        """Take in how many daemons are heard, this one among them.

        Those that are heard as a rule and are not now may be cut off, and grant on as
        daemons without word do: their whole share is taken as spent. For a moment one
        may be counted twice, as it turns to another leader; that alone makes none
        missing.
        """
        if self._usual_daemons is None:
            self._usual_daemons = float(max(1, connected))
        passed = max(0.0, now - self._counted_at)
        self._counted_at = now
        weight = 1.0 - math.exp(-passed / DAEMON_COUNT_TIME)
        self._usual_daemons += weight * (connected - self._usual_daemons)
        self._missing = max(0.0, 1.0 - max(1, connected) / self._usual_daemons)

    def _compute_rate(self, grant: Grant) -> float:
        """Return the units a second that daemons which are heard may spend."""
        return grant.rate * (1.0 - self._missing)

    def make_throttles(self, now: Seconds) -> list[Throttle]:
        """Return the word on each organisation near its limit, and at times on all.

        The ratio is 1 while one may spend freely.
        """
        report_all = now - self._all_reported_at >= FULL_REPORT_INTERVAL
        if report_all:
            self._all_reported_at = now
        throttles = []
        for name, account in self._accounts.items():
            grant = self._grants[name]
            rate = self._compute_rate(grant)
            account.settle(rate, now)
            used = account.predict(rate, now)
            if report_all or used > FREE_FRACTION * grant.burst:
                throttles.append(self._make_throttle(name, grant, account, now))
        return throttles

    def _make_throttle(
        self, name: OrganisationName, grant: Grant, account: Account, now: Seconds
    ) -> Throttle:
        asked = account.asked.read(now)
        rate = self._compute_rate(grant)
        predicted = account.predict(rate, now)
        margin = TARGET_FRACTION * grant.burst - predicted
        allowed = max(0.0, rate + margin / CORRECTION_TIME)
        free = predicted <= FREE_FRACTION * grant.burst
        ratio = 1.0 if free or asked <= allowed else allowed / asked
        wait = (account.used - FREE_FRACTION * grant.burst) / rate
        return Throttle(
            name, ratio, account.long_term_asked.read(now), max(MIN_WAIT, wait)
        )

    def measure(self, now: Seconds) -> dict[str, float]:
        """Return by organisation the part of its burst that is used up."""
        used = {}
        for name, account in self._accounts.items():
            grant = self._grants[name]
            account.settle(self._compute_rate(grant), now)
            used[str(name)] = account.used / grant.burst if grant.burst else 0.0
        return used


def _open_account(now: Seconds) -> Account:
    return Account(
        asked=RateMeter(RATE_TIME, now),
        granted=RateMeter(RATE_TIME, now),
        long_term_asked=RateMeter(SHARE_AVERAGE_TIME, now, started_at=now),
        at=now,
    )
