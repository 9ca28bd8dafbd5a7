"""Finds out where a stream began that a client takes up: one search for each."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds, ServiceName
from kestreltally.streams.evidence import (
    NOT_ASKED,
    Conclusion,
    Evidence,
    Finding,
    Inquiry,
    conclude,
)
from kestreltally.streams.names import StreamName
from kestreltally.streams.origins import StreamOrigin
from kestreltally.streams.register import KnownStream
from kestreltally.streams.versions import NEVER

# Daemons in step answer within this time; after it, the store is asked as well.
INQUIRY_HEAD_START: Final[Seconds] = 0.06

Ask = Callable[[StreamName, ServiceName, StreamOrigin | None], Awaitable[Inquiry]]


async def _ask_nobody(*_: object) -> Inquiry:
    return NOT_ASKED


async def _read_no_versions(_: Seconds) -> Seconds:
    return NEVER


async def _read_no_records() -> None:
    return None


@dataclass(slots=True)
class OriginSources:
    """What a daemon learns of streams from others and the store.

    ``ask`` asks other daemons for a stream. ``read_versions`` reads the versions of
    endpoints that had joined by a time, and returns as of when they are known.
    ``read_records`` reads which versions served, and where streams began, before this
    daemon knew any.
    """

    ask: Ask = _ask_nobody
    read_versions: Callable[[Seconds], Awaitable[Seconds]] = _read_no_versions
    read_records: Callable[[], Awaitable[None]] = _read_no_records


@dataclass(frozen=True, slots=True)
class OriginView:
    """What a daemon itself knows at the moment.

    ``find_only`` returns the one origin that streams of the service can have, and
    ``find_known`` the stream itself.
    """

    find_only: Callable[[], StreamOrigin | None]
    find_known: Callable[[], KnownStream | None]
    get_list_age: Callable[[], Seconds]


class OriginSearch:
    """Gathers evidence on one stream until it suffices, or there is no more of it."""

    def __init__(
        self,
        service: ServiceName,
        name: StreamName | None,
        view: OriginView,
        sources: OriginSources,
    ) -> None:
        self._service = service
        self._name = name
        self._view = view
        self._sources = sources
        self._clock = asyncio.get_running_loop().time
        self._began_at = self._clock()
        self._versions_as_of: Seconds = NEVER
        self._inquiry = NOT_ASKED
        # Whether the store told where the stream began.
        self.is_kept = False

    def weigh(self) -> Evidence:
        """Return what is known now."""
        now = self._clock()
        return Evidence(
            only=self._view.find_only(),
            list_age=min(self._view.get_list_age(), now - self._versions_as_of),
            waited=now - self._began_at,
            known=self._view.find_known(),
            inquiry=self._inquiry,
        )

    async def run(self) -> Conclusion:
        """Return where the stream may go on, as soon as that is known."""
        conclusion = conclude(self.weigh())
        for gather in (self._ask, self._read):
            if conclusion.finding is not Finding.UNKNOWN:
                break
            await gather()
            conclusion = conclude(self.weigh())
        return conclusion

    async def _ask(self) -> None:
        """Ask other daemons, and the store for versions if they do not answer soon."""
        if self._name is None:
            return
        only = self._view.find_only()
        inquiring = asyncio.ensure_future(
            self._sources.ask(self._name, self._service, only)
        )
        try:
            await asyncio.wait({inquiring}, timeout=INQUIRY_HEAD_START)
            if not inquiring.done():
                await self._read_versions()
            if conclude(self.weigh()).finding is Finding.UNKNOWN:
                self._inquiry = await inquiring
        finally:
            inquiring.cancel()

    async def _read(self) -> None:
        """Read what leaders kept in the store, and the versions there."""
        if self._view.find_only() is None:
            await self._sources.read_records()
            self.is_kept = self._view.find_known() is not None
        await self._read_versions()

    async def _read_versions(self) -> None:
        """Read the versions in the store if one alone is known."""
        if self._view.find_only() is not None and not self.weigh().is_list_current:
            self._versions_as_of = await self._sources.read_versions(self._began_at)
