"""A suspected request, and which of its sightings count."""

from dataclasses import dataclass, field
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.poison.facts import IncarnationName, Sighting
from kestreltally.poison.fingerprints import Digest, Fingerprint

# Crashes dated by two daemons within this time cannot be ordered: a report arrives some
# ms after its age was written.
DATE_TOLERANCE: Final[Seconds] = 0.05
# Sightings are removed after this time.
SIGHTING_RETENTION: Final[Seconds] = 24 * 3600.0


@dataclass(slots=True)
class Suspect:
    """The sightings of one request."""

    fingerprint: Fingerprint
    sightings: dict[IncarnationName, Sighting] = field(default_factory=dict)
    cleared_at: Seconds = float("-inf")
    recorded_at: Seconds = float("-inf")

    def list_valid(self, now: Seconds) -> list[Sighting]:
        """Return the sightings that still count, ordered by the time of the crash."""
        since = max(self.cleared_at, now - SIGHTING_RETENTION)
        valid = [each for each in self.sightings.values() if each.ended_at > since]
        return sorted(valid, key=lambda each: each.ended_at)

    def list_sequential(self, now: Seconds) -> list[Sighting]:
        """Return sightings in sequence: the request was sent again after each crash.

        A request that many callers send at once is present at many crashes when a rack
        fails; these count as one.
        """
        ends: list[Sighting] = []
        for each in self.list_valid(now):
            if not ends or _comes_after(each, ends[-1]):
                ends.append(each)
        return ends

    def score(self, now: Seconds) -> tuple[int, int, Digest]:
        """Return a score of the evidence, to be compared with another suspect's."""
        valid = self.list_valid(now)
        unanswered = sum(1 for each in valid if not each.answered)
        return len(valid), unanswered, self.fingerprint.digest


def _comes_after(later: Sighting, earlier: Sighting) -> bool:
    """Return whether a request was sent after one crash and met a later one."""
    if later.witness == earlier.witness:
        return later.sent_at >= earlier.ended_at
    sent_again = later.sent_at >= earlier.ended_at - DATE_TOLERANCE
    return sent_again and later.ended_at >= earlier.ended_at + DATE_TOLERANCE
