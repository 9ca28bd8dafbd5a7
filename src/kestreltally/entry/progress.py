"""The state of one request while it is relayed."""

from dataclasses import dataclass, field
from typing import Final

from aiohttp import web

from kestreltally.entry.backup import Backup
from kestreltally.entry.request import Refused
from kestreltally.entry.sends import SendLog
from kestreltally.entry.stopping import STOPPING
from kestreltally.fleet.model import EndpointId, Seconds, SoftwareVersion
from kestreltally.streams.origins import StreamOrigin

BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504
# Retry time in refusals when no better estimate exists.
DEFAULT_RETRY_DELAY: Final[Seconds] = 0.3
# Retry time in refusals for a cause of this daemon's own: others may serve at once.
RETRY_ELSEWHERE_DELAY: Final[Seconds] = 0.02


@dataclass(frozen=True, slots=True)
class Prediction:
    """The predicted and the actual time to the first event."""

    predicted: Seconds
    actual: Seconds


@dataclass(slots=True)
class Progress:
    """The state of one request.

    ``send_log`` tells which sends may have run, and ``taken_back`` counts those of them
    that were ended before any answer, as the endpoint's version of the weights was
    outdated. ``backup`` is a second run that
    has forwarded nothing, and ``backup_refused`` whether the budget had none.
    ``last_event_id`` is that of the last forwarded event. ``content`` identifies the
    content of a stopped request in log lines. ``unreached`` counts the endpoints to
    which no connection could be opened.
    ``turn_wait`` is the time spent waiting for turns at engines, ``slot_wait`` that for
    slots at brittle endpoints, and
    ``longest_pause`` is the longest time between two events, the last of which came at
    ``event_at`` and was written at ``written_at``. ``origin`` is where a stream began
    of which the client has events; it may go on only there.
    """

    sends: int = 0
    send_log: SendLog = field(default_factory=SendLog)
    taken_back: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    last_fault: str = ""
    unreached: int = 0
    trail: list[str] = field(default_factory=list)
    waited: Seconds = 0.0
    predictions: list[Prediction] = field(default_factory=list)
    first_byte_at: Seconds | None = None
    last_event_id: str | None = None
    response: web.StreamResponse | None = None
    backup: Backup | None = None
    backup_refused: bool = False
    content: str | None = None
    turn_wait: Seconds = 0.0
    slot_wait: Seconds = 0.0
    event_at: Seconds | None = None
    written_at: Seconds = 0.0
    longest_pause: Seconds = 0.0
    origin: StreamOrigin | None = None

    @property
    def runs(self) -> int:
        """Return how many times the request may have run."""
        return self.send_log.runs

    @property
    def software(self) -> SoftwareVersion | None:
        """Return the only software version that may serve, None if any may."""
        return self.origin.software if self.origin is not None else None

    def record_event(self, now: Seconds) -> Seconds | None:
        """Record an event; return the time since the previous one, None if first."""
        before, self.event_at = self.event_at, now
        if before is None:
            return None
        self.longest_pause = max(self.longest_pause, now - before)
        return now - before


class AttemptFailed(Exception):
    """The endpoint did not serve the request, but another may.

    ``unreached``: no connection to the endpoint could be opened. ``turned_away``: the
    endpoint had no room.
    """

    def __init__(
        self,
        fault: str,
        *,
        may_have_run: bool,
        unreached: bool = False,
        turned_away: bool = False,
    ) -> None:
        super().__init__(fault)
        self.fault = fault
        self.may_have_run = may_have_run
        self.unreached = unreached
        self.turned_away = turned_away


class StreamBroken(Exception):
    """A stream cannot be completed although its client has received part of it."""


def make_unresumable_error(progress: Progress) -> Exception:
    """Return the exception that ends a stream that cannot go on anywhere.

    Nobody knows when it could, so a refusal names no time to come back.
    """
    if progress.runs or progress.response is not None:
        return make_final_error(progress)
    return Refused(UNAVAILABLE, progress.last_fault)


def make_final_error(progress: Progress) -> Exception:
    """Return the exception that ends a request that no endpoint has served."""
    if progress.response is not None:
        return StreamBroken(progress.last_fault)
    if progress.runs:
        return Refused(BAD_GATEWAY, progress.last_fault)
    return Refused(UNAVAILABLE, progress.last_fault, DEFAULT_RETRY_DELAY)


def make_timeout_error(progress: Progress) -> Exception:
    """Return the exception that ends a request at its deadline."""
    if progress.response is not None:
        return StreamBroken("request deadline exceeded during the answer")
    if progress.runs:
        return Refused(GATEWAY_TIMEOUT, "no answer before the request deadline")
    return Refused(
        UNAVAILABLE,
        "request deadline exceeded while waiting for an endpoint",
        DEFAULT_RETRY_DELAY,
    )


def make_stop_error(progress: Progress) -> Exception:
    """Return the exception that ends a request at the end of a planned stop."""
    progress.last_fault = STOPPING
    if progress.runs or progress.response is not None:
        return make_final_error(progress)
    return Refused(UNAVAILABLE, STOPPING, RETRY_ELSEWHERE_DELAY, elsewhere=True)
