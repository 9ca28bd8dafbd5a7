"""The secret that keys all daemons' digests of requests.

Daemons store nothing on their VMs. A leader makes a secret if it has received none, and
all daemons report the one they know. A restarted daemon, which may lead at once, thus
adopts the others' secret before it makes one: digests under another secret are useless.
"""

from collections.abc import Callable
from secrets import token_bytes
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.poison.fingerprints import SECRET_BYTES

# A daemon receives the first messages of others within half a second of its start. It
# gets a stored secret with its first call as a leader, or not at all if the store is
# unavailable.
MAKE_DELAY: Final[Seconds] = 1.0
MAKE_DELAY_WITHOUT_STORE: Final[Seconds] = 5.0


class SharedSecret:
    """The secret known to this daemon; empty until one is received or made."""

    def __init__(
        self,
        clock: Callable[[], Seconds],
        notify_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._notify_changed = notify_changed
        self._created_at = clock()
        self.value = b""
        # Set once the record in the store has been read.
        self.store_checked = False

    def get_or_make(self) -> bytes:
        """Return the secret of a leader, which makes one if none was received."""
        wait = MAKE_DELAY if self.store_checked else MAKE_DELAY_WITHOUT_STORE
        if not self.value and self._clock() - self._created_at >= wait:
            self.value = token_bytes(SECRET_BYTES)
        return self.value

    def apply(self, reported: bytes | None) -> None:
        """Apply another daemon's secret; of two secrets, the lower one is kept."""
        if not reported or (self.value and reported >= self.value):
            return
        changed = bool(self.value)
        self.value = reported
        if changed:
            self._notify_changed()
