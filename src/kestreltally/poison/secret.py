"""The secret under which all daemons take the digests of requests.

Daemons keep nothing on their VMs: a leader that has heard of no secret makes one, and
tells it. It may change when daemons that had no word of each other meet.
"""

from collections.abc import Callable
from secrets import token_bytes

from kestreltally.poison.fingerprints import SECRET_BYTES


class SharedSecret:
    """This daemon's word on the secret; none until a leader has told one."""

    def __init__(self, note_changed: Callable[[], None] = lambda: None) -> None:
        self._note_changed = note_changed
        self.value = b""

    def lead(self) -> bytes:
        """Return the secret that a leader tells, made when there is none."""
        if not self.value:
            self.value = token_bytes(SECRET_BYTES)
        return self.value

    def take(self, told: bytes, *, leads: bool) -> None:
        """Take a leader's secret in.

        Leaders that made one each agree on the lowest; who does not lead takes what it
        is told. What was digested under another one is of no more use.
        """
        if not told or told == self.value:
            return
        if leads and self.value and told > self.value:
            return
        changed = bool(self.value)
        self.value = told
        if changed:
            self._note_changed()
