"""Facts about requests at crashed endpoints that daemons exchange.

Facts are only ever added: the same one may arrive again, late and by several routes.
Each daemon derives its verdicts from all the facts it has received.
"""

from dataclasses import dataclass
from secrets import randbits
from typing import Final, NewType

from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.poison.fingerprints import Digest, Fingerprint

# One incarnation of an endpoint: its id, and its start time if known.
IncarnationName = NewType("IncarnationName", str)

NUMBER_BITS: Final = 62
WITNESS_BITS: Final = 31


def format_incarnation(endpoint: Endpoint) -> IncarnationName:
    """Return the name of an endpoint's current incarnation."""
    return IncarnationName(
        f"{endpoint.id}@{endpoint.start_time_ms}"
        if endpoint.start_time_ms
        else endpoint.id
    )


@dataclass(frozen=True, slots=True)
class Sighting:
    """A request had no complete answer from an endpoint when the endpoint crashed.

    ``answered`` means that events of its answer had arrived by then. ``witness`` is a
    random number of the reporting daemon's process, because only times taken by the
    same process can be compared exactly. A sighting may also be of a part of prompts;
    ``companions`` are the other suspected parts of the requests that had it.
    """

    fingerprint: Fingerprint
    incarnation: IncarnationName
    sent_at: Seconds
    ended_at: Seconds
    answered: bool
    witness: int
    companions: tuple[Digest, ...] = ()


@dataclass(frozen=True, slots=True)
class Clearing:
    """A request ran successfully or was pardoned: earlier sightings are void.

    ``number`` is a random id that identifies the clearing, because ``at`` differs
    slightly at each daemon that receives it.
    """

    fingerprint: Fingerprint
    at: Seconds
    number: int


def make_clearing(fingerprint: Fingerprint, at: Seconds) -> Clearing:
    """Return a new clearing."""
    return Clearing(fingerprint, at, randbits(NUMBER_BITS))


Fact = Sighting | Clearing
