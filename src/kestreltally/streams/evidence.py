"""Decides where a stream that a client takes up may go on, from what is known of it.

The client does not say when the stream began, so it may have begun at any time before
it is taken up. A daemon that knows one software version only must therefore know that
no other had joined by then. A daemon that does not answer says nothing about that.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from kestreltally.fleet.model import Seconds
from kestreltally.streams.origins import StreamOrigin
from kestreltally.streams.register import KnownStream

# A daemon with an older list of endpoints may not have been told of a stream.
MAX_DENIAL_AGE: Final[Seconds] = 1.0


@dataclass(frozen=True, slots=True)
class Denial:
    """The answer of a daemon that does not know a stream.

    ``only`` is the one origin that streams of the service can have by what it knows,
    None if there are several. ``list_age`` is the age of its list of endpoints.
    """

    only: StreamOrigin | None
    list_age: Seconds


@dataclass(frozen=True, slots=True)
class Inquiry:
    """What other daemons answered to the question where a stream began.

    ``registrars`` has one element for each daemon that the one which began the stream
    would have told: its denial, None if it has not answered.
    """

    found: KnownStream | None = None
    asked: int = 0
    answered: int = 0
    registrars: tuple[Denial | None, ...] = ()

    @property
    def lacks_answers(self) -> bool:
        """Return whether some of the daemons that were asked have not answered."""
        return self.answered < self.asked

    def confirms(self, only: StreamOrigin) -> bool:
        """Return whether all that would know of another origin say there is none."""
        return bool(self.registrars) and all(
            each is not None and each.only == only and each.list_age <= MAX_DENIAL_AGE
            for each in self.registrars
        )


NOT_ASKED: Final = Inquiry()


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a daemon knows of a stream that a client takes up.

    ``only`` is the one origin that streams of the service can have, None if there are
    several or if others may have served unseen. ``list_age`` is the age of the list of
    endpoints, and ``waited`` the time since the client came: a list that is younger has
    every endpoint at which the stream can have begun. ``known`` is the stream itself.
    """

    only: StreamOrigin | None
    list_age: Seconds
    waited: Seconds
    known: KnownStream | None = None
    inquiry: Inquiry = NOT_ASKED

    @property
    def is_list_current(self) -> bool:
        """Return whether the list has all that had joined when the client came."""
        return self.list_age <= self.waited


class Finding(Enum):
    """How the origin of a stream was found; the values name counts."""

    KNOWN = "known"
    SINGLE = "single"
    CONTRADICTED = "contradicted"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Conclusion:
    """What follows; ``origin`` is None if the stream may not go on."""

    finding: Finding
    origin: StreamOrigin | None = None


def conclude(evidence: Evidence) -> Conclusion:
    """Return where a stream may go on by what is known, and how that was found."""
    known, only = evidence.known, evidence.only
    if known is not None and known.origin is None:
        return Conclusion(Finding.CONTRADICTED)
    if known is not None:
        return Conclusion(Finding.KNOWN, known.origin)
    if only is None:
        return Conclusion(Finding.UNKNOWN)
    if evidence.is_list_current or evidence.inquiry.confirms(only):
        return Conclusion(Finding.SINGLE, only)
    return Conclusion(Finding.UNKNOWN)
