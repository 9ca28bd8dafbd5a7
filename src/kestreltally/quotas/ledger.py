"""A leader's ledger of organisations' spendings, and the throttles it derives from it.

Each leader receives the spendings of all daemons within about 0.4 s: its followers
report to it, and the other leaders report the sums of theirs. Every leader thus has the
complete ledger and needs no permission from another. A failed leader loses only the
spendings that were in transit.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Organisation, OrganisationName, Seconds
from kestreltally.quotas.grants import Grant, QuotaBounds
from kestreltally.quotas.order import OrderBook
from kestreltally.quotas.spending import (
    SHARE_AVERAGE_TIME,
    THROTTLE_DELAY,
    Keeper,
    Spending,
    Throttle,
)
from kestreltally.rates import RateMeter

# An organisation is not throttled while it has used less than this fraction of its
# burst. The rest is for what it requests in the 0.5 s until all daemons are informed,
# and for large requests.
FREE_FRACTION: Final = 0.3
# Target for the used fraction of the burst, and the time in which it is approached.
TARGET_FRACTION: Final = 0.5
CORRECTION_TIME: Final[Seconds] = 1.0
# All active organisations are reported at this interval, so that daemons know their
# share of each if they lose contact to the leaders.
FULL_REPORT_INTERVAL: Final[Seconds] = 1.0
# Averaging time of the requested rate: two to three reports.
RATE_DECAY_TIME: Final[Seconds] = 0.5
# Averaging time of the usual number of daemons. Daemons that switch to another leader
# are briefly counted twice, which hardly moves a mean over this time.
DAEMON_COUNT_TIME: Final[Seconds] = 20.0
# The fraction of requests that may run until the first reports reach a new leader, if
# no leader's accounts are complete.
UNKNOWN_RATIO: Final = 0.05
# Minimum reported time until an organisation is below its limit.
MIN_WAIT: Final[Seconds] = 0.2


@dataclass(slots=True)
class Account:
    """The spendings of an organisation: ``used`` units of its burst drain at its rate.

    ``asked`` and ``granted`` are the current rates it requests and gets;
    ``long_term_asked`` is the requested rate over the averaging time of shares.
    """

    asked: RateMeter
    granted: RateMeter
    long_term_asked: RateMeter
    at: Seconds
    used: float = 0.0

    def settle(self, rate: float, now: Seconds) -> None:
        """Drain the used units up to the time ``now``."""
        self.used = max(0.0, self.used - rate * max(0.0, now - self.at))
        self.at = now

    def predict(self, rate: float, now: Seconds) -> float:
        """Return the units used by the time daemons act on a throttle sent now."""
        grows = self.granted.read(now) - rate
        return max(self.used, self.used + grows * THROTTLE_DELAY)


class Ledger:
    """The accounts of all organisations that have a quota."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._grants: dict[OrganisationName, Grant] = {}
        self._accounts: dict[OrganisationName, Account] = {}
        self._average_daemons: float | None = None
        self._counted_at: Seconds = 0.0
        self._missing = 0.0
        self._all_reported_at: Seconds = float("-inf")
        # Used only if quotas are granted in the order of arrival: the accounts, and a
        # function that returns the keeper of an account, None if there is none.
        self.orders: OrderBook | None = None
        self.find_keeper: Callable[[OrganisationName], Keeper | None] = lambda _: None

    @property
    def window(self) -> Seconds:
        """Return the window in which quotas are counted."""
        return self._bounds.window

    def apply_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Apply quotas; accounts are kept, so that a new limit holds at once."""
        self._grants = {
            each.name: self._bounds.compute_grant(each.quota)
            for each in organisations
            if each.quota is not None
        }
        for name in self._accounts.keys() - self._grants.keys():
            del self._accounts[name]

    def record(self, spendings: Iterable[Spending], now: Seconds) -> None:
        """Record what some daemons granted."""
        spendings = list(spendings)
        if self.orders is not None:
            self.orders.record(spendings, now)
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
        """Record the number of connected daemons, including this one.

        Daemons that are usually connected and are not now may be partitioned, and still
        grant requests as isolated daemons do: their whole share is counted as spent. A
        daemon that switches to another leader is briefly counted twice; the average
        keeps this from making others count as missing.
        """
        if self._average_daemons is None:
            self._average_daemons = float(max(1, connected))
            self._counted_at = now
        passed = max(0.0, now - self._counted_at)
        self._counted_at = now
        weight = 1.0 - math.exp(-passed / DAEMON_COUNT_TIME)
        self._average_daemons += weight * (connected - self._average_daemons)
        self._missing = max(0.0, 1.0 - max(1, connected) / self._average_daemons)
        if self.orders is not None:
            self.orders.touch(self._missing, now)

    def _compute_rate(self, grant: Grant) -> float:
        """Return the units per second that connected daemons may spend."""
        return grant.rate * (1.0 - self._missing)

    def make_throttles(self, now: Seconds) -> list[Throttle]:
        """Return throttles of organisations near their limit, and periodically of all.

        The ratio is 1 for an organisation that is not throttled.
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
            ordered = self._needs_order(name, account, now)
            if report_all or ordered or used > FREE_FRACTION * grant.burst:
                throttles.append(self._make_throttle(name, grant, account, now))
        if self.orders is not None and not self.orders.is_complete(now):
            throttles += self._throttle_unknown()
        return throttles

    def _throttle_unknown(self) -> list[Throttle]:
        """Return throttles of organisations of which nothing was reported yet."""
        names = self._grants.keys() - self._accounts.keys()
        return [
            Throttle(name, UNKNOWN_RATIO, 0.0, MIN_WAIT, self.find_keeper(name))
            for name in names
        ]

    def _make_throttle(
        self, name: OrganisationName, grant: Grant, account: Account, now: Seconds
    ) -> Throttle:
        asked = account.asked.read(now)
        rate = self._compute_rate(grant)
        predicted = account.predict(rate, now)
        margin = TARGET_FRACTION * grant.burst - predicted
        allowed = max(0.0, rate + margin / CORRECTION_TIME)
        free = predicted <= FREE_FRACTION * grant.burst
        if self.orders is not None and not self.orders.is_complete(now):
            # What ran before this leader's first report is not known.
            allowed = min(allowed, self.orders.compute_incomplete_rate(name, asked))
            free = False
        ratio = 1.0 if free or asked <= allowed else allowed / asked
        wait = (account.used - FREE_FRACTION * grant.burst) / rate
        ordered = ratio < 1.0 or self._needs_order(name, account, now)
        keeper = self.find_keeper(name) if ordered else None
        return Throttle(
            name, ratio, account.long_term_asked.read(now), max(MIN_WAIT, wait), keeper
        )

    def _needs_order(
        self, name: OrganisationName, account: Account, now: Seconds
    ) -> bool:
        """Return whether daemons should ask the keeper for each request."""
        rate = account.granted.read(now)
        return self.orders is not None and self.orders.needs_order(name, rate, now)

    def measure(self, now: Seconds) -> dict[str, float]:
        """Return the used fraction of the burst by organisation."""
        used = {}
        for name, account in self._accounts.items():
            grant = self._grants[name]
            account.settle(self._compute_rate(grant), now)
            used[str(name)] = account.used / grant.burst if grant.burst else 0.0
        return used


def _open_account(now: Seconds) -> Account:
    return Account(
        asked=RateMeter(RATE_DECAY_TIME, now),
        granted=RateMeter(RATE_DECAY_TIME, now),
        long_term_asked=RateMeter(SHARE_AVERAGE_TIME, now, started_at=now),
        at=now,
    )
