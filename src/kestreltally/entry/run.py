"""One send of a request to an endpoint."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from kestreltally.entry.backup import Backup
from kestreltally.entry.events import EventReader
from kestreltally.entry.progress import Progress
from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import Endpoint
from kestreltally.poison.crash_detector import Attempt


@dataclass(slots=True)
class Run:
    """One send of a request to an endpoint.

    ``token`` is the run's token in the health table, and ``attempt`` its record for
    poison detection. ``events`` splits what the run brings. ``backup`` is set if the
    run is one.
    """

    request: ClientRequest
    client: web.BaseRequest
    progress: Progress
    endpoint: Endpoint
    backup: Backup | None = None
    token: int = 0
    attempt: Attempt | None = None
    events: EventReader = field(init=False)

    def __post_init__(self) -> None:
        """Read events after the last one that the client has."""
        self.events = EventReader(self.progress.last_event_id)

    @property
    def is_second(self) -> bool:
        """Return whether another run of the request goes before this one."""
        return self.backup is not None and not self.backup.leads

    async def claim(self) -> None:
        """Return once no other run of the request may forward anything.

        A first run ends its backup, and a backup waits for the end of the first run.
        """
        if self.is_second:
            assert self.backup is not None
            await self.backup.claim()
            return
        other, self.progress.backup = self.progress.backup, None
        if other is not None:
            await other.cancel()

    def record_answered(self, *, complete: bool) -> None:
        """Record that a valid part of an answer, or all of it, has arrived."""
        if self.attempt is not None:
            now = asyncio.get_running_loop().time()
            self.attempt.record_answered(now, complete=complete)

    def record_ended(self) -> None:
        """Record that the send got a complete answer, or did not run."""
        if self.attempt is not None:
            self.attempt.complete = True

    def record_broken(self) -> None:
        """Record that the connection of the send broke."""
        if self.attempt is not None:
            self.attempt.broken_off = True
