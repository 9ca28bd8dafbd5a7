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

    def at(self, due_at: float, callback: Callable[[], None]) -> None:
        """Have something done at a moment, after what is due then already."""
        heappush(self._events, (due_at, next(self._numbers), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Have something done after a while."""
        self.at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Do what is due before a moment."""
        while self._events and self._events[0][0] < end:
            self.now, _, callback = heappop(self._events)
            callback()
