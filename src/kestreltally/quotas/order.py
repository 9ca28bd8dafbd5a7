"""Grants an organisation's quota in the order in which its requests arrive.

One leader, the keeper of the organisation's account, decides on each request while the
organisation is near its limit. What a window allows may be used at once. A refused
request is told when there is room for it, after those that were told before it, and
that room is reserved for its return.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Organisation, OrganisationName, Seconds
from kestreltally.quotas.grants import QuotaBounds
from kestreltally.quotas.spending import Spending
from kestreltally.quotas.window import WindowCount

# Fraction of the units of a window that keepers grant: about the quota without what is
# tolerated. The rest is for what daemons grant themselves and have not reported yet.
KEPT_FRACTION: Final = 0.9
# Daemons ask the keeper once the units that it may still grant, less those used at the
# current rate within the lookahead, are under 1 - ASK_FRACTION of the limit. A sudden
# rise runs unasked for up to 0.5 s.
ASK_FRACTION: Final = 0.6
ASK_LOOKAHEAD: Final[Seconds] = 0.5
# Room is reserved at most this far ahead. A request that returns later is late anyway,
# and patient requests must not take all room ahead of others.
MAX_RESERVED_AHEAD: Final[Seconds] = 0.6
# A return is taken this much before its time, and its room is kept this long after.
EARLY_MARGIN: Final[Seconds] = 0.03
RETURN_GRACE: Final[Seconds] = 0.3
MAX_RESERVATIONS: Final = 4_096
# A keeper tells the other leaders at once when it has granted this fraction of a limit
# since it told them, so that no more is lost with it.
RELAY_FRACTION: Final = 0.01
# Fraction of a window's mean rate that organisations get while no account is complete:
# those that keep to their rate, and others, whose window may have been full before.
INCOMPLETE_FRACTION: Final = 0.5
INCOMPLETE_EXCESS_FRACTION: Final = 0.05
# Daemons that are missing may get more than their share by number.
MISSING_WEIGHT: Final = 1.3
# Daemons that are back count as missing for this long.
MISSING_HOLD: Final[Seconds] = 1.0
# The told time is this much after the room appears.
TOLD_MARGIN: Final[Seconds] = 0.005
# An account is incomplete for a window after its leader was without reports this long.
MAX_GAP: Final[Seconds] = 1.0


@dataclass(frozen=True, slots=True)
class Ask:
    """A request of ``units``; ``content`` is the same when its client returns.

    The client returns within ``patience`` at the latest.
    """

    organisation: OrganisationName
    content: int
    units: int
    patience: Seconds


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request may run, else when to return, and if room is reserved then."""

    granted: bool
    wait: Seconds = 0.0
    reserved: bool = False


@dataclass(frozen=True, slots=True)
class Reservation:
    """Units that are kept for a client that returns at a time."""

    at: Seconds
    units: int


@dataclass(slots=True)
class OrderAccount:
    """The units that an organisation spent in the last window, and its reservations.

    After its limit was lowered, the limit before holds for the whole window, and the
    new one for what was spent since.
    """

    spent: WindowCount
    limit: float
    limit_before: float = 0.0
    lowered_at: Seconds = float("-inf")
    reserved: int = 0
    unrelayed: int = 0
    reservations: dict[int, Reservation] = field(default_factory=dict)

    def list_bounds(
        self, fraction: float, window: Seconds, now: Seconds
    ) -> list[tuple[float, Seconds]]:
        """Return, for each limit that holds now, the units left and its start time.

        Only the given fraction of a limit is used.
        """
        self.spent.settle(now)
        if now - self.lowered_at >= window:
            return [(fraction * self.limit - self.spent.total, float("-inf"))]
        since = self.spent.count_since(self.lowered_at)
        return [
            (fraction * self.limit - since, self.lowered_at),
            (fraction * self.limit_before - self.spent.total, float("-inf")),
        ]

    def release(self, content: int) -> None:
        """Give up a reservation."""
        self.reserved -= self.reservations.pop(content).units

    def release_missed(self, now: Seconds) -> None:
        """Give up the reservations of clients that did not return."""
        missed = []
        for content, each in self.reservations.items():
            if each.at + RETURN_GRACE >= now:
                break
            missed.append(content)
        for content in missed:
            self.release(content)

    def find_room(self, units: int, room: float, since: Seconds) -> Seconds | None:
        """Return when there is room for ``units``; ``room`` is what there is now.

        Room appears as units spent after ``since`` leave the window; None if they do
        not suffice.
        """
        found_at: Seconds = float("-inf")
        for leaves_at, freed in self.spent.list_leaving(since):
            if room >= units:
                break
            room += freed
            found_at = leaves_at + TOLD_MARGIN
        return found_at if room >= units else None


class OrderBook:
    """The accounts that a leader keeps."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._accounts: dict[OrganisationName, OrderAccount] = {}
        self._touched_at: Seconds = float("-inf")
        self._complete_at: Seconds = float("inf")
        self._missing = 0.0
        self._missed_at: Seconds = float("-inf")

    def apply_organisations(
        self, organisations: Iterable[Organisation], now: Seconds
    ) -> None:
        """Apply quotas; a lower limit binds what is spent from now on."""
        limits = {
            each.name: self._bounds.compute_max_units(each.quota)
            for each in organisations
            if each.quota is not None
        }
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                spent = WindowCount(self._bounds.window)
                self._accounts[name] = OrderAccount(spent, limit)
                continue
            if limit < account.limit:
                account.limit_before = account.limit
                account.lowered_at = now
            account.limit = limit

    def record(self, spendings: Iterable[Spending], now: Seconds) -> None:
        """Record what daemons or keepers granted."""
        for each in spendings:
            account = self._accounts.get(each.organisation)
            if account is not None and each.granted:
                account.spent.add(each.granted, now)

    def touch(self, missing: float, now: Seconds) -> None:
        """Record that reports arrive now, from all but the ``missing`` fraction.

        What missing daemons run is known a little after they are back.
        """
        if missing >= self._missing or now - self._missed_at > MISSING_HOLD:
            self._missing, self._missed_at = missing, now
        if now - self._touched_at > MAX_GAP:
            self._complete_at = now + self._bounds.window
        self._touched_at = now

    def is_complete(self, now: Seconds) -> bool:
        """Return whether the accounts hold all that was spent in the last window."""
        return now >= self._complete_at and now - self._touched_at <= MAX_GAP

    def count_unrelayed(self, name: OrganisationName, units: int) -> bool:
        """Count units granted as the keeper; return whether to tell other leaders."""
        account = self._accounts[name]
        account.unrelayed += units
        is_due = account.unrelayed > RELAY_FRACTION * account.limit
        if is_due:
            account.unrelayed = 0
        return is_due

    def compute_incomplete_rate(self, name: OrganisationName, asked: float) -> float:
        """Return the units per second to grant while no account is complete."""
        account = self._accounts.get(name)
        mean = account.limit / self._bounds.window if account is not None else 0.0
        allowed = INCOMPLETE_FRACTION * mean
        return allowed if asked <= allowed else INCOMPLETE_EXCESS_FRACTION * mean

    def needs_order(self, name: OrganisationName, rate: float, now: Seconds) -> bool:
        """Return whether daemons should be told of an organisation's keeper.

        It gets units at a rate, and would soon be near its limit; or nobody knows, as
        the account is not complete.
        """
        account = self._accounts.get(name)
        if account is None:
            return False
        if not self.is_complete(now):
            return True
        room = min(room for room, _ in self._list_bounds(account, now))
        spare = (1.0 - ASK_FRACTION) * account.limit
        return bool(account.reservations) or room - ASK_LOOKAHEAD * rate < spare

    def _list_bounds(
        self, account: OrderAccount, now: Seconds
    ) -> list[tuple[float, Seconds]]:
        present = max(0.0, 1.0 - MISSING_WEIGHT * self._missing)
        fraction = KEPT_FRACTION * present
        return account.list_bounds(fraction, self._bounds.window, now)

    def decide(self, ask: Ask, now: Seconds) -> Verdict | None:
        """Decide on a request, which is not recorded yet; None without an account."""
        account = self._accounts.get(ask.organisation)
        if account is None:
            return None
        account.release_missed(now)
        reservation = account.reservations.get(ask.content)
        if reservation is None:
            return self._admit(account, ask, account.reserved, now)
        if now < reservation.at - EARLY_MARGIN:
            return Verdict(granted=False, wait=reservation.at - now, reserved=True)
        account.release(ask.content)
        return self._admit(account, ask, 0, now)

    def _admit(
        self, account: OrderAccount, ask: Ask, ahead: int, now: Seconds
    ) -> Verdict:
        """Grant a request after ``ahead`` units, or reserve room for its return."""
        bounds = self._list_bounds(account, now)
        if all(ask.units <= room - ahead for room, _ in bounds):
            return Verdict(granted=True)
        times = [account.find_room(ask.units, room - ahead, s) for room, s in bounds]
        known = [each for each in times if each is not None]
        if len(known) < len(times):
            return Verdict(granted=False, wait=self._bounds.window)
        wait = max(TOLD_MARGIN, *(at - now for at in known))
        reserved = (
            wait <= min(ask.patience, MAX_RESERVED_AHEAD)
            and len(account.reservations) < MAX_RESERVATIONS
        )
        if reserved:
            account.reservations[ask.content] = Reservation(now + wait, ask.units)
            account.reserved += ask.units
        return Verdict(granted=False, wait=wait, reserved=reserved)

    def measure(self) -> dict[str, float]:
        """Return the reserved units by organisation."""
        return {
            str(name): float(each.reserved) for name, each in self._accounts.items()
        }
