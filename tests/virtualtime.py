"""Virtual time for simulations: what is due is done in its order, at its moment."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class VirtualTime:
    """A clock that jumps from one event to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Have something done at a moment, after what is due then already."""
        heappush(self._events, (when, next(self._numbers), what))

    def after(self, wait: float, what: Callable[[], None]) -> None:
        """Have something done after a while."""
        self.at(self.now + wait, what)

    def run_until(self, ends_at: float) -> None:
        """Do what is due before a moment."""
        while self._events and self._events[0][0] < ends_at:
            self.now, _, what = heappop(self._events)
            what()
