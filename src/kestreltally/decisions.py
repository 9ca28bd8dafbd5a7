"""The catalogue of what is logged: one line for each decision, with its inputs.

docs/OPERATIONS.md lists the catalogue. Kinds that come with every request are thinned
under load; what is left out is counted and told. Lines on refused and failed requests
carry the whole trail of the request, so that none is needed beside them.
"""

import logging
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

FIELDS: Final = "fields"


class Level(Enum):
    """How much a kind of line matters."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class Decision(Enum):
    """A kind of line: its text, level, and the most lines a second that are kept."""

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
    REQUEST_WAITS = ("relay: request waits for weights", Level.INFO, 100)
    REQUEST_MOVES_ON = ("relay: request moves on", Level.INFO, 200)
    QUOTA_USED_UP = ("gate: quota used up", Level.INFO, 50)
    ENDPOINT_ENDED = ("poison: endpoint ended under requests", Level.WARNING, 50)
    POISON_SUSPECTED = ("poison: request suspected", Level.WARNING, 50)
    POISON_STOPPED = ("poison: request stopped", Level.ERROR, 50)
    POISON_PARDONED = ("poison: request pardoned", Level.WARNING, 50)
    POISON_NOT_KEPT = ("poison: record not kept", Level.INFO, 20)
    ENDPOINT_SAYS_LEAVING = ("notices: endpoint says it leaves", Level.INFO, 50)
    ENDPOINT_WANTS_REST = ("notices: endpoint wants rest", Level.INFO, 50)
    ENDPOINT_NAMES_LIMIT = ("notices: endpoint names a limit", Level.INFO, 50)
    ENDPOINT_WORD_UNREAD = ("notices: a word nobody reads", Level.WARNING, 50)
    ENDPOINT_LEFT_OUT = ("relay: endpoint left out", Level.WARNING, 50)

    CONFIGURATION_IN_FORCE = (
        "knowledge: configuration in force",
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
    VERSION_REJECTED = ("knowledge: version left out", Level.WARNING, 20)
    ENDPOINT_GONE = ("knowledge: endpoint gone", Level.INFO, 50)
    ENDPOINT_LEAVING = ("knowledge: endpoint leaving", Level.INFO, 50)
    STORE_COPIED = ("store: came back from a copy", Level.WARNING, 20)
    HISTORY_GONE = ("knowledge: history gone", Level.INFO, 20)
    STORE_LOST = ("knowledge: store lost", Level.WARNING, 20)
    STORE_REGAINED = ("knowledge: store regained", Level.INFO, 20)

    FEED_LEADER_HEARD = ("feed: leader heard", Level.INFO, 20)
    FEED_LEADER_LOST = ("feed: leader lost", Level.INFO, 20)
    FEED_DAEMON_LOST = ("feed: daemon lost", Level.INFO, 20)
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

    @property
    def text(self) -> str:
        """Return the line's text, with the prefix of its part."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Return the level of ``logging``."""
        level: int = self.value[1].value
        return level

    @property
    def lines_per_second(self) -> int:
        """Return how many lines a second are kept."""
        return self.value[2]


@dataclass(slots=True)
class _TokenBucket:
    """What a kind may still log: a bucket of a second's lines."""

    tokens: float
    refilled_at: float
    suppressed: int = 0


class LogRateLimiter:
    """Keeps each kind of line within its rate and counts what is left out."""

    def __init__(self) -> None:
        self._buckets: dict[Decision, _TokenBucket] = {}

    def allows(self, decision: Decision, now: float) -> bool:
        """Tell whether a line of a kind is kept at a moment."""
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
        """Return how many lines of each kind were left out since the last call."""
        suppressed = {}
        for decision, bucket in self._buckets.items():
            if bucket.suppressed:
                suppressed[decision.name.lower()] = bucket.suppressed
                bucket.suppressed = 0
        return suppressed


_RATE_LIMITER: Final = LogRateLimiter()
# How often each decision was made, also where its line was thinned.
COUNTS: Final[Counter[Decision]] = Counter()


def log_decision(
    logger: logging.Logger, decision: Decision, *, trace: bool = False, **fields: Any
) -> None:
    """Count a decision, and write its line with what decided it, unless thinned."""
    COUNTS[decision] += 1
    if not _RATE_LIMITER.allows(decision, time.monotonic()):
        return
    logger.log(decision.level, decision.text, exc_info=trace, extra={FIELDS: fields})


def log_suppressed(logger: logging.Logger, dropped: int) -> None:
    """Tell which lines were thinned, and how many the writer had no room for."""
    suppressed = _RATE_LIMITER.pop_suppressed()
    if suppressed or dropped:
        log_decision(
            logger, Decision.LOGS_LEFT_OUT, thinned=suppressed, dropped=dropped
        )
