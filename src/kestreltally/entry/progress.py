"""What becomes of one request on its way through the entry."""

from dataclasses import dataclass, field
from typing import Final

from aiohttp import web

from kestreltally.entry.events import EventReader
from kestreltally.entry.request import Refused
from kestreltally.fleet.model import EndpointId, Seconds
from kestreltally.poison.ends import Flight

BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
# A time to come back when nothing better is known.
DEFAULT_RETRY_DELAY: Final[Seconds] = 0.3


@dataclass(frozen=True, slots=True)
class Prediction:
    """The time to the first event as it was predicted, and as it was."""

    predicted: Seconds
    actual: Seconds


@dataclass(slots=True)
class Progress:
    """What has become of one request so far.

    ``runs`` counts the sends of which no endpoint has said that they did not run;
    ``flight`` is the last one, as it is watched. ``content`` is what lines show of a
    request that is stopped.
    """

    sends: int = 0
    runs: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    last_fault: str = ""
    trail: list[str] = field(default_factory=list)
    waited: Seconds = 0.0
    predictions: list[Prediction] = field(default_factory=list)
    first_byte_at: Seconds | None = None
    events: EventReader = field(default_factory=EventReader)
    response: web.StreamResponse | None = None
    flight: Flight | None = None
    content: str | None = None

    def record_answered(self, *, whole: bool) -> None:
        """Note that some of an answer was good, or all of it."""
        if self.flight is not None:
            self.flight.answered = True
            self.flight.whole = whole

    def record_ended(self) -> None:
        """Note that the last send's answer is whole, or says that nothing ran."""
        if self.flight is not None:
            self.flight.whole = True

    def record_broken(self) -> None:
        """Note that the channel of the last send broke off."""
        if self.flight is not None:
            self.flight.broke = True


class AttemptFailed(Exception):
    """This endpoint did not serve the request; another may."""

    def __init__(self, fault: str, *, may_have_run: bool) -> None:
        super().__init__(fault)
        self.fault = fault
        self.may_have_run = may_have_run


class StreamBroken(Exception):
    """A stream that clients have seen part of cannot be finished."""


def make_final_error(progress: Progress) -> Exception:
    """Return what ends a request that no endpoint has served."""
    if progress.response is not None:
        return StreamBroken(progress.last_fault)
    if progress.runs:
        return Refused(BAD_GATEWAY, progress.last_fault)
    return Refused(UNAVAILABLE, progress.last_fault, DEFAULT_RETRY_DELAY)
