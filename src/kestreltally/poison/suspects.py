"""One request that was at ends of endpoints, and which of these count."""

from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.poison.facts import Life, Sighting
from kestreltally.poison.fingerprints import Digest, Fingerprint

# Two ends that two daemons date closer together are not told apart: what one tells
# another arrives some ms after its age was written.
DATE_TOLERANCE: Final[Seconds] = 0.05
# After this nothing is known of an end.
SIGHTING_RETENTION: Final[Seconds] = 24 * 3600.0


@dataclass(slots=True)
class Suspect:
    """What is known of one request."""

    fingerprint: Fingerprint
    sightings: dict[Life, Sighting] = field(default_factory=dict)
    cleared_at: Seconds = float("-inf")
    recorded_at: Seconds = float("-inf")

    def list_valid(self, now: Seconds) -> list[Sighting]:
        """Return what still counts, by the end's time."""
        since = max(self.cleared_at, now - SIGHTING_RETENTION)
        valid = [each for each in self.sightings.values() if each.ended_at > since]
        return sorted(valid, key=lambda each: each.ended_at)

    def list_ends(self, now: Seconds) -> list[Sighting]:
        """Return ends that came one after another: sent again after each.

        What many callers send at once is at many ends when a rack goes down; these are
        no more than one.
        """
        ends: list[Sighting] = []
        for each in self.list_valid(now):
            if not ends or _comes_after(each, ends[-1]):
                ends.append(each)
        return ends

    def score(self, now: Seconds) -> tuple[int, int, Digest]:
        """Return how much speaks against it, to be compared with another's."""
        valid = self.list_valid(now)
        unanswered = sum(1 for each in valid if not each.answered)
        return len(valid), unanswered, self.fingerprint.digest


def _comes_after(later: Sighting, earlier: Sighting) -> bool:
    """Tell whether a request was sent again after an end, and then met another."""
    if later.witness == earlier.witness:
        return later.sent_at >= earlier.ended_at
    sent_again = later.sent_at >= earlier.ended_at - DATE_TOLERANCE
    return sent_again and later.ended_at >= earlier.ended_at + DATE_TOLERANCE
