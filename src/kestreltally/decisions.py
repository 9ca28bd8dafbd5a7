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
class _Allowance:
    """What a kind may still log: a bucket of a second's lines."""

    lines: float
    filled_at: float
    left_out: int = 0


class Thinner:
    """Keeps each kind of line within its rate and counts what is left out."""

    def __init__(self) -> None:
        self._allowances: dict[Decision, _Allowance] = {}

    def keeps(self, decision: Decision, now: float) -> bool:
        """Tell whether a line of a kind is kept at a moment."""
        most = decision.lines_per_second
        allowance = self._allowances.get(decision)
        if allowance is None:
            allowance = self._allowances[decision] = _Allowance(most, now)
        gained = (now - allowance.filled_at) * most
        allowance.lines = min(most, allowance.lines + gained)
        allowance.filled_at = now
        if allowance.lines < 1:
            allowance.left_out += 1
            return False
        allowance.lines -= 1
        return True

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines of each kind were left out since the last call."""
        left_out = {}
        for decision, allowance in self._allowances.items():
            if allowance.left_out:
                left_out[decision.name.lower()] = allowance.left_out
                allowance.left_out = 0
        return left_out


_THINNER: Final = Thinner()
# How often each decision was made, also where its line was thinned.
COUNTS: Final[Counter[Decision]] = Counter()


def log_decision(
    logger: logging.Logger, decision: Decision, *, trace: bool = False, **fields: Any
) -> None:
    """Count a decision, and write its line with what decided it, unless thinned."""
    COUNTS[decision] += 1
    if not _THINNER.keeps(decision, time.monotonic()):
        return
    logger.log(decision.level, decision.text, exc_info=trace, extra={FIELDS: fields})


def log_left_out(logger: logging.Logger, dropped: int) -> None:
    """Tell which lines were thinned, and how many the writer had no room for."""
    left_out = _THINNER.take_left_out()
    if left_out or dropped:
        log_decision(logger, Decision.LOGS_LEFT_OUT, thinned=left_out, dropped=dropped)
