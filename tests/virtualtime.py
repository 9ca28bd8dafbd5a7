"""Virtual time for simulations: runs callbacks in order of their due time."""

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
        """Schedule a callback, after others already due at the same time."""
        heappush(self._events, (due_at, next(self._numbers), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Run all callbacks due before ``end``."""
        while self._events and self._events[0][0] < end:
            self.now, _, callback = heappop(self._events)
            callback()
