"""A limit that an endpoint names in its answers, and how daemons agree on it.

Versions order the values without comparing clocks. A daemon adds one to the version if
an answer names another value than the known one, and the answered call was sent after
the known value was learned. Of two values of the same version the stricter one holds.
"""

from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

NEVER: Final[Seconds] = float("-inf")


def is_stricter(limit: float | None, than: float | None) -> bool:
    """Return whether a limit allows less than another; None is no limit."""
    return limit is not None and (than is None or limit < than)


@dataclass(slots=True)
class NamedLimit:
    """A limit of one incarnation of an endpoint, None while it names none.

    ``learned_at`` is when this daemon learned the current limit.
    ``named_in_control_calls`` means that answers to reports and orders name it too.
    """

    limit: float | None = None
    version: int = 0
    learned_at: Seconds = NEVER
    named_in_control_calls: bool = False

    def receive_named(
        self, named: float | None, sent_at: Seconds, now: Seconds, *, from_request: bool
    ) -> bool:
        """Update the limit from an answer; return whether peers should be notified.

        An answer without a limit ends it if its request was sent after the limit was
        known. An answer to a report or an order (not ``from_request``) does so only if
        such answers are known to name limits.
        """
        if named is None:
            ends_limit = self.limit is not None and sent_at >= self.learned_at
            if not ends_limit or not (from_request or self.named_in_control_calls):
                return False
        else:
            self.named_in_control_calls |= not from_request
            late = sent_at < self.learned_at
            if named == self.limit or (late and not is_stricter(named, self.limit)):
                return False
        return self._update(named, self.version + 1, now)

    def apply_reported(self, limit: float | None, version: int, now: Seconds) -> bool:
        """Apply a limit reported by a peer; return whether peers should be notified."""
        newer = version > self.version
        if newer or (version == self.version and is_stricter(limit, self.limit)):
            return self._update(limit, version, now)
        return False

    def _update(self, limit: float | None, version: int, now: Seconds) -> bool:
        before, self.limit = self.limit, limit
        self.version = version
        self.learned_at = now
        return self._apply_change(before)

    def _apply_change(self, before: float | None) -> bool:
        """Apply a new limit; return whether peers should be notified."""
        return self.limit != before
