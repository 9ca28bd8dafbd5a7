"""What daemons tell each other of requests at endpoints that ended.

Facts only add up: the same one may come again, late and by several ways. What is made
of them is worked out by each daemon from all that it has been told.
"""

from dataclasses import dataclass
from secrets import randbits
from typing import Final, NewType

from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.poison.fingerprints import Fingerprint

# One start of an endpoint: its id, and when it was started where it tells.
Life = NewType("Life", str)

NUMBER_BITS: Final = 62
WITNESS_BITS: Final = 31


def format_life(endpoint: Endpoint) -> Life:
    """Return the name of an endpoint's present start."""
    return Life(f"{endpoint.id}@{endpoint.born}" if endpoint.born else endpoint.id)


@dataclass(frozen=True, slots=True)
class Sighting:
    """A request was at an endpoint, and had no whole answer, when that ended.

    ``answered`` tells that events of its answer had come by then; ``witness`` is drawn
    by each daemon's process, for only its own times can be compared exactly.
    """

    fingerprint: Fingerprint
    life: Life
    sent_at: Seconds
    ended_at: Seconds
    answered: bool
    witness: int


@dataclass(frozen=True, slots=True)
class Clearing:
    """A request ran well, or an operator says so: what was seen before is void.

    ``number`` is drawn for each: its time is a little later at each that is told.
    """

    fingerprint: Fingerprint
    at: Seconds
    number: int


def make_clearing(fingerprint: Fingerprint, at: Seconds) -> Clearing:
    """Return a new clearing."""
    return Clearing(fingerprint, at, randbits(NUMBER_BITS))


Fact = Sighting | Clearing
