"""The secret under which all daemons take the digests of requests.

Daemons keep nothing on their VMs: a leader makes one where nobody has told it any, and
all daemons tell the one they know. A daemon that is started again, and may lead at
once, thus takes the others' before it makes one of its own: what was digested under
another is of no more use.
"""

from collections.abc import Callable
from secrets import token_bytes
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.poison.fingerprints import SECRET_BYTES

# A daemon hears of others within half a second of its start, and of what was kept in
# the store with its first call as a leader; where the store is away, not at all.
MAKE_DELAY: Final[Seconds] = 1.0
MAKE_DELAY_WITHOUT_STORE: Final[Seconds] = 5.0


class SharedSecret:
    """This daemon's word on the secret; empty until one is told or made."""

    def __init__(
        self,
        clock: Callable[[], Seconds],
        notify_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._notify_changed = notify_changed
        self._since = clock()
        self.value = b""
        # Set once the store has told what was kept.
        self.store_checked = False

    def get_or_make(self) -> bytes:
        """Return the secret that a leader tells, made when nobody has told one."""
        wait = MAKE_DELAY if self.store_checked else MAKE_DELAY_WITHOUT_STORE
        if not self.value and self._clock() - self._since >= wait:
            self.value = token_bytes(SECRET_BYTES)
        return self.value

    def apply(self, reported: bytes | None) -> None:
        """Take another daemon's secret in: of two that were made, the lowest holds."""
        if not reported or (self.value and reported >= self.value):
            return
        changed = bool(self.value)
        self.value = reported
        if changed:
            self._notify_changed()
