"""The catalogue of log lines: one line per decision, with the inputs of the decision.

docs/OPERATIONS.md lists the catalogue. Kinds of lines that occur for every request are
rate-limited under load; suppressed lines are counted and reported. Lines on refused and
failed requests contain the request's complete trail, so no other line is needed to
explain them.
"""

import logging
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

FIELDS: Final = "fields"


class Level(Enum):
    """The severity of a kind of line."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class Decision(Enum):
    """A kind of line: its text, its level, and the maximum of lines per second."""

    DAEMON_STARTED = ("daemon: started", Level.INFO, 10)
    DAEMON_PLANNED_STOP_BEGINS = ("daemon: planned stop begins", Level.INFO, 10)
    DAEMON_PLANNED_STOP_ENDS = ("daemon: planned stop ends", Level.INFO, 10)
    DAEMON_STOPPED = ("daemon: stopped", Level.INFO, 10)
    DAEMON_SETTINGS_READ_AGAIN = ("daemon: settings read again", Level.INFO, 10)
    DAEMON_SETTINGS_NOT_TAKEN = ("daemon: settings not taken", Level.ERROR, 10)
    DAEMON_CANNOT_LISTEN = ("daemon: cannot listen", Level.ERROR, 10)
    DAEMON_TASK_RESTARTED = ("daemon: a task failed, restarted", Level.ERROR, 10)
    LOGS_LEFT_OUT = ("logs: lines left out", Level.WARNING, 10)

    REQUEST_DONE = ("entry: request done", Level.INFO, 100)
    REQUEST_REFUSED = ("entry: request refused", Level.INFO, 400)
    REQUEST_BROKEN_OFF = ("entry: answer broken off", Level.WARNING, 400)
    REQUEST_ABANDONED = ("entry: client left", Level.INFO, 100)
    REQUEST_INVALID = ("ingress: no valid request", Level.INFO, 20)
    CONNECTION_ENDED = ("ingress: connection ended", Level.WARNING, 20)
    UNREAD_ENDED = ("holdings: unread bytes dropped", Level.WARNING, 50)
    REQUEST_WAITS = ("relay: request waits for weights", Level.INFO, 100)
    REQUEST_MOVES_ON = ("relay: request moves on", Level.INFO, 200)
    ANSWER_UNDELIMITED = ("relay: answer ended with its connection", Level.INFO, 50)
    ANSWER_INVALID = ("relay: no valid answer", Level.INFO, 50)
    ANSWER_STALLS = ("relay: answer stalls", Level.INFO, 200)
    ANSWER_RESUMES = ("relay: stalled answer goes on", Level.INFO, 200)
    REQUEST_REPEATED = ("relay: request is sent again", Level.INFO, 200)
    REQUEST_TAKEN_BACK = ("relay: taken back before it begins", Level.INFO, 100)
    BEGINNING_TOO_LATE = ("relay: would begin too late", Level.INFO, 50)
    OLDER_VERSION_BEGINS = ("relay: begins on an older version", Level.INFO, 100)
    STREAM_GOES_ON = ("relay: stream goes on", Level.INFO, 200)
    STREAM_TAKEN_UP = ("relay: origin of a stream found", Level.INFO, 100)
    STREAM_UNKNOWN = ("relay: version of a stream not known", Level.WARNING, 100)
    RETRY_REFUSED = ("relay: no retry left", Level.INFO, 100)
    RECORD_NOT_KEPT = ("knowledge: record not kept", Level.INFO, 20)
    VERSIONS_NOT_READ = ("knowledge: versions not read", Level.INFO, 20)
    DAEMONS_COUNTED = ("knowledge: number of daemons", Level.INFO, 20)
    TURN_WAITS = ("pacing: prompt waits for its turn", Level.INFO, 50)
    TURN_TOO_LATE = ("pacing: turn would come too late", Level.INFO, 50)
    TURN_UNANSWERED = ("pacing: no answer, sent without a turn", Level.INFO, 20)
    PACING_CHANGED = ("pacing: services whose prompts wait", Level.INFO, 20)
    QUOTA_USED_UP = ("gate: quota used up", Level.INFO, 50)
    QUOTA_KEEPER_SILENT = ("gate: quota keeper silent", Level.INFO, 20)
    ENDPOINT_FELL = (
        "poison: endpoint fell over from its rejections",
        Level.WARNING,
        50,
    )
    ENDPOINT_ENDED = ("poison: endpoint ended under requests", Level.WARNING, 50)
    POISON_SUSPECTED = ("poison: request suspected", Level.WARNING, 50)
    POISON_STOPPED = ("poison: request stopped", Level.ERROR, 50)
    POISON_PARDONED = ("poison: request pardoned", Level.WARNING, 50)
    PART_STOPPED = ("poison: part of prompts stopped", Level.ERROR, 50)
    PART_PARDONED = ("poison: part of prompts pardoned", Level.WARNING, 50)
    POISON_NOT_KEPT = ("poison: record not kept", Level.INFO, 20)
    ENDPOINT_SAYS_LEAVING = ("notices: endpoint says it leaves", Level.INFO, 50)
    ENDPOINT_WANTS_REST = ("notices: endpoint wants rest", Level.INFO, 50)
    ENDPOINT_NAMES_LIMIT = ("notices: endpoint names a limit", Level.INFO, 50)
    ENDPOINT_SAYS_BRITTLE = ("notices: endpoint says it is brittle", Level.INFO, 50)
    ENDPOINT_TURNED_AWAY = ("relay: endpoint turned a request away", Level.INFO, 100)
    ENDPOINT_WORD_UNREAD = ("notices: a word nobody reads", Level.WARNING, 50)
    ENGINE_PASSED_OVER = ("finder: failing engine passed over", Level.INFO, 50)
    ENGINE_DIFFERS = ("speeds: engine differs", Level.WARNING, 20)
    ENGINE_TYPICAL = ("speeds: engine typical again", Level.INFO, 20)
    REQUEST_FORWARDED = ("forwarding: request passed on", Level.INFO, 100)
    REACH_CHANGED = ("reach: path to the endpoints changed", Level.WARNING, 20)
    ENDPOINT_LEFT_OUT = ("relay: endpoint left out", Level.WARNING, 50)

    CONFIGURATION_IN_FORCE = (
        "knowledge: configuration in force",
        Level.INFO,
        20,
    )
    CONFIGURATION_OVERTAKEN = (
        "knowledge: another daemon knows a later configuration",
        Level.INFO,
        20,
    )
    CONFIGURATION_NOT_READ = ("authority: configuration not read", Level.INFO, 20)
    AUTHORITY_LOST = ("authority: keys no longer believed", Level.WARNING, 20)
    AUTHORITY_REGAINED = ("authority: keys believed again", Level.INFO, 20)
    KEY_NAMED_TWICE = ("fleet: a key is named twice", Level.WARNING, 20)
    CONFIGURATION_REJECTED = (
        "knowledge: configuration left out",
        Level.ERROR,
        20,
    )
    ENTRY_REJECTED = ("knowledge: entry left out", Level.WARNING, 20)
    OBJECT_REJECTED = ("store: object left out", Level.WARNING, 20)
    OBJECT_FAILED = ("knowledge: an object could not be applied", Level.ERROR, 20)
    VERSION_LEARNED = ("knowledge: version learned", Level.INFO, 50)
    VERSION_REJECTED = ("knowledge: version left out", Level.WARNING, 20)
    ENDPOINT_GONE = ("knowledge: endpoint gone", Level.INFO, 50)
    ENDPOINT_LEAVING = ("knowledge: endpoint leaving", Level.INFO, 50)
    ENDPOINT_DOUBTED = (
        "knowledge: entry missing, kept for a while",
        Level.INFO,
        50,
    )
    ENDPOINTS_OUTDATED = (
        "knowledge: endpoints may be outdated",
        Level.WARNING,
        20,
    )
    ENDPOINTS_CURRENT = ("knowledge: endpoints current", Level.INFO, 20)
    ENDPOINT_ROW_OUTDATED = ("knowledge: row older than a removal", Level.INFO, 50)
    STORE_COPIED = ("store: came back from a copy", Level.WARNING, 20)
    HISTORY_GONE = ("knowledge: history gone", Level.INFO, 20)
    STORE_SILENT = ("store: no answer", Level.INFO, 20)
    STORE_LOST = ("knowledge: store lost", Level.WARNING, 20)
    STORE_REGAINED = ("knowledge: store regained", Level.INFO, 20)

    FEED_LEADER_HEARD = ("feed: leader heard", Level.INFO, 20)
    FEED_LEADER_LOST = ("feed: leader lost", Level.INFO, 20)
    FEED_DAEMON_LOST = ("feed: daemon lost", Level.INFO, 20)
    FEED_VALUE_LEFT_OUT = ("feed: value left out", Level.ERROR, 20)
    FEED_DAEMON_DOES_NOT_READ = ("feed: daemon does not read", Level.WARNING, 20)

    LEASE_HELD = ("lease: held", Level.INFO, 20)
    LEASE_LOST = ("lease: lost", Level.WARNING, 20)
    LEASE_RESIGNED = ("lease: resigned", Level.WARNING, 20)
    LEASE_NOT_READ = ("lease: not read", Level.INFO, 20)
    LEASE_NOT_RENEWED = ("lease: not renewed", Level.INFO, 20)
    LEASE_NOT_RELEASED = ("lease: not released", Level.WARNING, 20)

    ORDER_GIVEN = ("orders: order given", Level.INFO, 100)
    ORDER_SENT_AGAIN = ("orders: order sent again", Level.INFO, 50)
    ORDER_HELD_BACK = ("leader: order held back", Level.INFO, 20)
    ENDPOINT_SPARED = ("leader: endpoint spared", Level.WARNING, 50)
    ENGINE_SILENT = ("leader: engine silent", Level.INFO, 50)
    ENGINE_LACKS_WEIGHTS = ("leader: engine lacks weights", Level.INFO, 50)
    LOAD_NOT_SEEN_TO_END = ("leader: load not seen to end", Level.WARNING, 20)
    VERSION_REPLACED = ("leader: older version replaced", Level.INFO, 50)
    LOADED_FOR_STREAM = ("leader: adapter loaded for a stream", Level.INFO, 50)
    LOADED_AHEAD = ("leader: adapter loaded ahead of demand", Level.INFO, 50)

    @property
    def text(self) -> str:
        """Return the line's text, prefixed by its component."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Return the line's level, as a number of the ``logging`` module."""
        level: int = self.value[1].value
        return level

    @property
    def lines_per_second(self) -> int:
        """Return the maximum number of lines written per second."""
        return self.value[2]


@dataclass(slots=True)
class _TokenBucket:
    """The lines that a kind may still log; it holds at most one second's worth."""

    tokens: float
    refilled_at: float
    suppressed: int = 0


class LogRateLimiter:
    """Limits the rate of each kind of line and counts suppressed lines."""

    def __init__(self) -> None:
        self._buckets: dict[Decision, _TokenBucket] = {}

    def allows(self, decision: Decision, now: float) -> bool:
        """Return whether a line of a kind may be written at time ``now``."""
        rate = decision.lines_per_second
        bucket = self._buckets.get(decision)
        if bucket is None:
            bucket = self._buckets[decision] = _TokenBucket(rate, now)
        refill = (now - bucket.refilled_at) * rate
        bucket.tokens = min(rate, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return False
        bucket.tokens -= 1
        return True

    def pop_suppressed(self) -> dict[str, int]:
        """Return and reset the number of suppressed lines of each kind."""
        suppressed = {}
        for decision, bucket in self._buckets.items():
            if bucket.suppressed:
                suppressed[decision.name.lower()] = bucket.suppressed
                bucket.suppressed = 0
        return suppressed


_RATE_LIMITER: Final = LogRateLimiter()
# The number of times each decision was made, including those whose line was suppressed.
COUNTS: Final[Counter[Decision]] = Counter()


def log_decision(
    logger: logging.Logger, decision: Decision, *, trace: bool = False, **fields: Any
) -> None:
    """Count a decision, and write its line with its inputs unless rate-limited."""
    COUNTS[decision] += 1
    if not _RATE_LIMITER.allows(decision, time.monotonic()):
        return
    logger.log(decision.level, decision.text, exc_info=trace, extra={FIELDS: fields})


def log_suppressed(logger: logging.Logger, dropped: int) -> None:
    """Log how many lines were rate-limited, and how many found the queue full."""
    suppressed = _RATE_LIMITER.pop_suppressed()
    if suppressed or dropped:
        log_decision(
            logger, Decision.LOGS_LEFT_OUT, thinned=suppressed, dropped=dropped
        )
