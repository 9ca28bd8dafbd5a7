"""What a leader asks leaders of other data centres to bring, and why.

An engine that keeps a copy of an adapter loads it ten times as quickly as another, at
no price, so a leader of such an engine is asked first, for a moment. Where this
leader's engines have no place left, a leader that has one is asked.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.placing.demand import Asked, DemandTable, WeightsRow

# How long another leader may take to bring what its engines have had lately.
HAND_FOR: Final[Seconds] = 0.2
# How long a leader with room is given: the word and the row cross in some 0.1 s, and
# a load lasts a quarter of a second.
PASS_FOR: Final[Seconds] = 0.6


@dataclass(frozen=True, slots=True)
class Passed:
    """Weights that another leader is asked for until a moment."""

    to: str
    until: Seconds


class Handover:
    """The weights asked for here that leaders of other data centres are to bring.

    ``get_free_capacity`` tells how many adapters each leader that is heard could take now,
    ``can_hand_over`` whether one brings adapters quickly; ``expedite`` has one told at once.
    """

    def __init__(self, fleet: Fleet, demand: DemandTable) -> None:
        self._fleet = fleet
        self._demand = demand
        self._homes: dict[Asked, str] = {}
        self._passed: dict[Asked, Passed] = {}
        self.can_hand_over: Callable[[str], bool] = lambda _: False
        self.get_free_capacity: Callable[[], Mapping[str, int]] = dict
        self.expedite: Callable[[str], None] = lambda _: None

    def is_handed(self, asked: Asked) -> bool:
        """Tell whether another leader is asked for some weights."""
        return asked in self._homes or asked in self._passed

    def list_for(self, data_centre: str) -> list[Asked]:
        """Return what the leader of a data centre is asked for."""
        homes = [asked for asked, home in self._homes.items() if home == data_centre]
        passed = [a for a, each in self._passed.items() if each.to == data_centre]
        return [*homes, *passed]

    def renew(self, led: set[str], now: Seconds) -> None:
        """Ask again for what is still missing, of who had it last."""
        before, self._homes = self._homes, {}
        for asked, row in self._demand.waiting.items():
            if not row.count_waiting(now) or now - row.waiting_since > HAND_FOR:
                continue
            if self._fleet.is_held(*asked, now):
                continue
            where = self._find_home(asked, led, before.get(asked))
            if where is None:
                continue
            self._homes[asked] = where
            if before.get(asked) != where:
                self.expedite(where)
        for asked, passed in list(self._passed.items()):
            if passed.until <= now or self._fleet.is_held(*asked, now):
                del self._passed[asked]

    def _find_home(self, asked: Asked, led: set[str], before: str | None) -> str | None:
        """Return whose engines keep a copy of some weights, unless own ones do.

        Of several that can bring it the one asked before goes on, else that with room.
        """
        places = {each.data_centre for each in self._fleet.list_copies(*asked)}
        if places & led:
            return None
        able = [name for name in places if self.can_hand_over(name)]
        if before in able:
            return before
        if len(able) < 2:
            return able[0] if able else None
        rooms = self.get_free_capacity()
        return max(able, key=lambda name: (rooms.get(name, 0), name))

    def pass_on(self, crowded_out: Iterable[Asked], led: set[str], now: Seconds) -> int:
        """Ask leaders with room for what has no place here; return for how many."""
        rooms = dict(self.get_free_capacity())
        for passed in self._passed.values():
            if passed.to in rooms:
                rooms[passed.to] -= 1
        count = 0
        for asked in crowded_out:
            roomiest = max(rooms, key=lambda name: rooms[name], default=None)
            if roomiest is None or rooms[roomiest] <= 0:
                break
            if not _waits_here(self._demand.rows.get(asked), led):
                continue
            rooms[roomiest] -= 1
            self._passed[asked] = Passed(roomiest, now + PASS_FOR)
            self.expedite(roomiest)
            count += 1
        return count


def _waits_here(row: WeightsRow | None, led: set[str]) -> bool:
    """Tell whether own daemons wait: what was passed on to here is not passed on."""
    return row is not None and any(
        each.data_centre in led for each in row.waiting.values()
    )
