"""The replacement of an older version of an adapter on a stand-in engine.

It waits for the runs of the older version, then loads. Until it has ended, the engine
rejects the adapter's requests and all other orders, and its reports say that it is
busy; they don't list the adapter as loading.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class Replacement:
    """The replacement that an engine carries out, if any, and the runs by adapter.

    ``adapter`` is empty if there is none. ``conflicts`` and ``turned_away`` count the
    orders and the requests that were rejected meanwhile.
    """

    adapter: str = ""
    load_time: float = 0.0
    end: Callable[[str], None] = lambda _: None
    running: Counter[str] = field(default_factory=Counter)
    conflicts: int = 0
    turned_away: int = 0

    def begin(self, adapter: str, load_time: float, end: Callable[[str], None]) -> None:
        """Replace an adapter; ``end`` is called with its name afterwards."""
        self.adapter, self.load_time, self.end = adapter, load_time, end
        self._load_if_unused()

    def record_run(self, adapter: str) -> None:
        """Record that a run of an adapter has begun."""
        self.running[adapter] += 1

    def record_run_end(self, adapter: str) -> None:
        """Record that a run of an adapter has ended."""
        self.running[adapter] -= 1
        if adapter == self.adapter:
            self._load_if_unused()

    def cancel(self) -> None:
        """Forget the replacement, as by a restart."""
        self.adapter = ""

    def _load_if_unused(self) -> None:
        if not self.running[self.adapter]:
            loop = asyncio.get_running_loop()
            loop.call_later(self.load_time, self._end, self.adapter)

    def _end(self, adapter: str) -> None:
        if self.adapter == adapter:
            self.adapter = ""
            self.end(adapter)
