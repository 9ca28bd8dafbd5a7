"""Which daemons are in touch: the bounds on leaving endpoints hold for those alone.

A daemon is in touch while for ``CONTACT_TIME`` its process ran undisturbed, its path to
the store was sound, and the store had no trouble of its own. Nothing else excuses it:
not the trouble of other daemons, of endpoints, or of the whole system.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

CONTACT_TIME: Final = 3.0


@dataclass(frozen=True)
class Scope:
    """What a fault concerns: some daemons, the store, or the path to an endpoint."""

    vms: frozenset[str] = frozenset()
    store: bool = False
    endpoint: str = ""


@dataclass
class Trouble:
    """A fault and its time; ``ended`` is infinite while it lasts."""

    scope: Scope
    began: float
    ended: float = float("inf")

    def overlaps(self, begin: float, end: float) -> bool:
        """Return whether the fault lasted at some time of a span."""
        return self.began < end and self.ended > begin


@dataclass
class ContactRecord:
    """All troubles of a soak."""

    troubles: list[Trouble] = field(default_factory=list)
    # Times at which the store was restored from a backup: it may list again what left.
    restored_at: list[float] = field(default_factory=list)

    @contextmanager
    def record(self, scope: Scope, clock: Callable[[], float]) -> Iterator[None]:
        """Record a fault that lasts as long as the context."""
        trouble = Trouble(scope, clock())
        self.troubles.append(trouble)
        try:
            yield
        finally:
            trouble.ended = clock()

    def is_in_touch(self, vm: str, endpoint: str, left_at: float, at: float) -> bool:
        """Return whether a daemon must know at a time that an endpoint left earlier."""
        if any(left_at < each < at for each in self.restored_at):
            return False
        for trouble in self.troubles:
            concerns = vm in trouble.scope.vms or trouble.scope.endpoint == endpoint
            if concerns and trouble.overlaps(at - CONTACT_TIME, at):
                return False
            if trouble.scope.store and trouble.overlaps(left_at - CONTACT_TIME, at):
                return False
        return True
