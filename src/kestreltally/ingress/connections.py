"""The connections to one port: how many there are, and which is closed for another.

A connection is closed in this order: one that has not completed a head, one that rests
between requests, one whose body is slow to come, one whose client takes nothing of its
answer; each the one for which that has lasted longest. One whose request is being
served to a client that reads is never closed for another.
"""

from collections.abc import Iterator
from enum import Enum, IntEnum
from itertools import takewhile
from typing import Final, Protocol

from kestreltally.fleet.model import Seconds


class Phase(IntEnum):
    """What a connection is doing, numbered as ``ConnectionLimiter`` groups them."""

    # Nothing has come on it yet.
    OPENED = 0
    # A part of a head has come.
    HEAD = 1
    # A part of a body has yet to come.
    BODY = 2
    # The request is complete, and its answer is not.
    SERVING = 3
    # The last answer is complete, and nothing has come since.
    IDLE = 4


class Reason(Enum):
    """Why a connection is closed, or an unfinished request refused."""

    CONNECTIONS = "too many connections"
    MEMORY = "no memory"
    SILENT = "nothing received in time"
    SLOW_HEAD = "head not received in time"
    UNREAD = "answer not taken in time"
    CLIENT_GONE = "client has left"


# How long a connection stays in a phase before it may be closed for another. Clients
# send at once, and what is sent at once arrives within this.
MIN_PHASE_TIMES: Final[dict[Phase, Seconds]] = {
    Phase.OPENED: 0.25,
    Phase.HEAD: 0.25,
    Phase.IDLE: 0.0,
    Phase.BODY: 1.0,
}


# How long a client takes nothing of an answer before its connection may be closed for
# another. One on a slow link takes something more often than this.
MIN_UNREAD_TIME: Final[Seconds] = 5.0


class Connection(Protocol):
    """A connection of a client.

    ``phase_since`` is when its phase began, and ``held`` what is held of its request,
    in bytes.
    """

    phase: Phase
    phase_since: Seconds
    held: int

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closed but for bytes yet to be sent."""

    def end(self, reason: Reason) -> None:
        """Refuse a request that is not complete, or close the connection."""


class ConnectionLimiter:
    """The connections to one port, ordered by phase and by how long they are in it."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.refused = 0
        self.ended = 0
        self._by_phase: list[dict[Connection, None]] = [{} for _ in Phase]
        # Since when clients take nothing of what was written for them.
        self._unread_since: dict[Connection, Seconds] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return sum(map(len, self._by_phase))

    def list_phase(self, phase: Phase) -> Iterator[Connection]:
        """Yield the connections in a phase, the one longest in it first."""
        return iter(self._by_phase[phase])

    def admit(self, connection: Connection, now: Seconds) -> bool:
        """Count a new connection; return whether it may stay."""
        if len(self) >= self.limit:
            victim = self.find_victim(now)
            if victim is None:
                self.refused += 1
                return False
            self.ended += 1
            self.remove(victim)
            victim.end(Reason.CONNECTIONS)
        connection.phase_since = now
        self._by_phase[connection.phase][connection] = None
        return True

    def find_victim(self, now: Seconds) -> Connection | None:
        """Return the connection that is closed for another, None if none may be."""
        for phase, min_time in MIN_PHASE_TIMES.items():
            oldest = next(iter(self._by_phase[phase]), None)
            if oldest is not None and now - oldest.phase_since >= min_time:
                return oldest
        unread = next(iter(self._unread_since), None)
        if unread is None or now - self._unread_since[unread] < MIN_UNREAD_TIME:
            return None
        return unread

    def move(self, connection: Connection, phase: Phase, now: Seconds) -> None:
        """Record that a connection enters a phase."""
        group = self._by_phase[connection.phase]
        if connection not in group:
            return
        del group[connection]
        connection.phase = phase
        connection.phase_since = now
        self._by_phase[phase][connection] = None

    def record_unread(self, connection: Connection, now: Seconds) -> None:
        """Record that a client takes nothing of what was written for it."""
        self._unread_since[connection] = now

    def record_taken(self, connection: Connection) -> None:
        """Record that a client has taken most of what was written for it."""
        self._unread_since.pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self._unread_since.pop(connection, None)
        self._by_phase[connection.phase].pop(connection, None)

    def end_overdue(self, phase: Phase, before: Seconds, reason: Reason) -> None:
        """End the connections that have been in a phase since before a time."""
        for connection in self._list_since(phase, before):
            connection.end(reason)

    def end_closing(self, before: Seconds) -> None:
        """End those closed before a time whose clients don't take the rest."""
        for connection in self._list_since(Phase.IDLE, before):
            if connection.is_closing:
                connection.end(Reason.UNREAD)

    def _list_since(self, phase: Phase, before: Seconds) -> list[Connection]:
        return list(
            takewhile(lambda each: each.phase_since < before, self._by_phase[phase])
        )
