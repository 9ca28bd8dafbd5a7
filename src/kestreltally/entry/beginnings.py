"""Whether requests begin in time at engines that hold an older version.

A request begins with its first token. Until then it waits at its engine, and begins on
the version that the engine holds by then. So an older version counts by when a request
is expected to begin on it, not by when the request is sent.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.health import HealthTable
from kestreltally.entry.request import ClientRequest
from kestreltally.entry.run import Run
from kestreltally.entry.upstream import Answer
from kestreltally.fleet.model import Endpoint, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.fleet.versions import describe_time
from kestreltally.platform.headers import read_answer_version

LOG = logging.getLogger("kestreltally.relay")

# A request that must not run twice cannot be sent elsewhere if its wait turns out
# longer than predicted.
UNREPEATABLE_FACTOR: Final = 2.0


@dataclass(frozen=True, slots=True)
class Beginning:
    """When a request that is sent now is expected to begin at an engine.

    ``predicted`` is the time until then by the prompts that the engine has to process,
    and ``longest_wait`` how long requests of this daemon have lately waited there: in a
    queue, the next one waits about as long. Requests may begin there until ``end``.
    """

    predicted: Seconds
    longest_wait: Seconds
    end: Seconds
    repeatable: bool

    @property
    def wait(self) -> Seconds:
        """Return the time until the request begins that is allowed for."""
        expected = max(self.predicted, self.longest_wait)
        return expected if self.repeatable else UNREPEATABLE_FACTOR * expected

    def is_in_time(self, now: Seconds) -> bool:
        """Return whether the request may be sent."""
        return now + self.wait <= self.end


class BeginningCheck:
    """Passes over engines on which a request would begin too late."""

    def __init__(self, fleet: Fleet, health: HealthTable) -> None:
        self._fleet = fleet
        self._health = health

    def filter_timely(
        self,
        request: ClientRequest,
        holders: Sequence[Endpoint],
        predict: Callable[[Endpoint], Seconds],
        now: Seconds,
    ) -> list[Endpoint]:
        """Return the engines on which a request is expected to begin in time.

        ``predict`` returns the time to the first event at an engine.
        """
        ends = {each.id: self._find_end(request, each) for each in holders}
        if all(end == math.inf for end in ends.values()):
            return list(holders)
        waits = {each.id: self._health.measure_wait(each.id, now) for each in holders}
        known_waits = [wait for wait in waits.values() if wait is not None]
        # Engines share the requests, so one that is not known is like the others.
        longest = max(known_waits, default=0.0)
        timely: list[Endpoint] = []
        late: list[Beginning] = []
        for endpoint in holders:
            wait = waits[endpoint.id]
            beginning = Beginning(
                predicted=predict(endpoint),
                longest_wait=longest if wait is None else wait,
                end=ends[endpoint.id],
                repeatable=request.route.repeatable,
            )
            if beginning.is_in_time(now):
                timely.append(endpoint)
            else:
                late.append(beginning)
        if late:
            _log_late(request, late, now)
        return timely

    def _find_end(self, request: ClientRequest, endpoint: Endpoint) -> Seconds:
        """Return until when requests may begin at an engine, infinite if unlimited."""
        key = request.adapter
        if key is None:
            return math.inf
        return self._fleet.find_version_end(key, endpoint.weights.get(key, 0))


def _log_late(request: ClientRequest, late: Sequence[Beginning], now: Seconds) -> None:
    log_decision(
        LOG,
        Decision.BEGINNING_TOO_LATE,
        request=request.head.id,
        endpoints=len(late),
        soonest=round(min(each.wait for each in late), 3),
        left=describe_time(max(each.end for each in late) - now),
    )


def log_beginning(fleet: Fleet, run: Run, answer: Answer, sent_at: Seconds) -> None:
    """Log a request whose engine was chosen with an older version than is known now.

    The row is the one by which the engine was chosen. The version that its answer names
    may be the base model's.
    """
    key = run.request.adapter
    if key is None:
        return
    held = run.endpoint.weights.get(key, 0)
    newest = fleet.get_newest_version(key) or 0
    if held >= newest:
        return
    now = asyncio.get_running_loop().time()
    log_decision(
        LOG,
        Decision.OLDER_VERSION_BEGINS,
        request=run.request.head.id,
        endpoint=run.endpoint.id,
        weights=str(key),
        held=held,
        newest=newest,
        answered=read_answer_version(answer.headers),
        since_send=round(now - sent_at, 3),
        newer_for=describe_time(fleet.measure_version_age(key, held, now)),
        backup=run.is_second,
    )
