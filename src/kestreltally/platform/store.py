"""A client of the platform's store: lists, watches and conditional writes.

The store may be restored from a backup that is some seconds old. Revision numbers then
go back and are assigned again, so each revision is bound to the era in which it was
received: with a revision of another era, a conditional write could match another
object, and a watch could miss changes.
"""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from errno import ETIMEDOUT
from typing import Any, Final, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import Seconds
from kestreltally.platform.pages import UndecodablePage, decode_page
from kestreltally.sessions import bound_overhead, read_bounded
from kestreltally.sockets import harden_socket
from kestreltally.values import (
    FORMAT_ERRORS,
    MAX_NUMBER,
    describe_error,
    read_count,
    read_digits,
)

LOG = logging.getLogger("kestreltally.store")

# A call is answered within milliseconds; the slowest store tested takes about 300 ms.
CALL_TIMEOUT: Final[Seconds] = 1.5
# Writes are short and often urgent.
WRITE_TIMEOUT: Final[Seconds] = 0.6
# Connections are given up at most once in this time: a slow store must have the time to
# answer a watch that was begun again.
RECONNECT_INTERVAL: Final[Seconds] = 3.0
# How long a watch usually may take to answer in addition to its wait.
WATCH_MARGIN: Final[Seconds] = 0.8
HISTORY_GONE: Final = 410
CONFLICT: Final = 409
NOT_FOUND: Final = 404
OK: Final = 200
CREATED: Final = 201
_ERA: Final = "Store-Era"
# The era before any restore from a backup, and the value for an era that is not known.
FIRST_ERA: Final = 0
UNKNOWN_ERA: Final = -1
# After a restore, the other writers write their objects again within about two seconds:
# those that were lost, and those that expired during the outage.
REWRITE_WINDOW: Final[Seconds] = 2.2


class Revision(NamedTuple):
    """A position in the store's history; numbers are comparable within an era only."""

    era: int
    number: int


NO_REVISION: Final = Revision(UNKNOWN_ERA, 0)


class StoreError(Exception):
    """A call to the store failed; a write may still have been applied."""


class StoreSilent(StoreError):
    """A call got no answer in time; a write may still have been applied."""


class RequestRejected(StoreError):
    """The store rejected the call; nothing was written."""


class HistoryGone(StoreError):
    """The store no longer has the requested changes: list the objects again."""


class StaleEra(HistoryGone):
    """The store was restored from a backup: a revision is of an older era.

    A write may have been applied under a condition whose meaning has changed.
    """


class WatchInterrupted(StoreError):
    """Another call has shown that a pending watch may never be answered: call again."""


class Conflict(StoreError):
    """The object has another revision, or already exists."""

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("the object has another revision")
        self.current = current


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store; ``content`` is the value set by its writer."""

    name: str
    revision: Revision
    content: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Change:
    """An object that was written, or deleted if ``deleted`` is set."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class _Answer:
    """The body of an answer of the store, and its era."""

    era: int
    body: Any

    def read_revision(self) -> Revision:
        """Return the store's revision in the answer to a listing or a watch."""
        return _decode_revision(self.era, self.body["CurrentRev"])


def lacks_writes(restored_at: Seconds, at: Seconds) -> bool:
    """Return whether a restored store may lack writes of others at time ``at``."""
    return at - restored_at < REWRITE_WINDOW


def _check_era(revision: Revision, era: int) -> None:
    """Raise ``StaleEra`` if a revision is not of the current era."""
    if revision.era != era:
        raise StaleEra(f"revision of era {revision.era}, the current era is {era}")


def read_era(headers: Mapping[str, str]) -> int | None:
    """Return the era in an answer's headers, or None; raises ``ValueError``."""
    text = headers.get(_ERA, "")
    return read_digits(text) if text.isascii() and text.isdigit() else None


def _decode_revision(era: int, number: Any) -> Revision:
    return Revision(era, read_count(int(number), minimum=0, maximum=MAX_NUMBER))


def _decode_object(item: dict[str, Any], era: int) -> StoredObject:
    metadata = item["Metadata"]
    if not isinstance(metadata["Name"], str):
        raise TypeError("the object's name is not a string")
    return StoredObject(
        name=metadata["Name"],
        revision=_decode_revision(era, metadata["Revision"]),
        content=item.get("Specification"),
    )


def decode_objects(items: list[Any], era: int = UNKNOWN_ERA) -> list[StoredObject]:
    """Return the objects of a page; malformed items are logged and skipped."""
    objects = []
    for item in items:
        try:
            objects.append(_decode_object(item, era))
        except FORMAT_ERRORS as error:
            log_decision(LOG, Decision.OBJECT_REJECTED, reason=describe_error(error))
    return objects


def _decode_events(events: list[Any], era: int) -> Iterator[Change]:
    """Yield the changes of a watch's answer; malformed ones are logged and skipped."""
    for event in events:
        try:
            yield Change(_decode_object(event["Object"], era), bool(event["Tombstone"]))
        except FORMAT_ERRORS as error:
            log_decision(LOG, Decision.OBJECT_REJECTED, reason=describe_error(error))


def _find_last_name(items: list[Any]) -> str:
    """Return the last name in a page that a query can hold; raises ``StoreError``.

    The next page goes on after that name.
    """
    for item in reversed(items):
        try:
            name = item["Metadata"]["Name"]
            name.encode()
        except FORMAT_ERRORS:
            continue
        if isinstance(name, str):
            return name
    raise StoreError("no item of a page has a name")


@contextmanager
def _checking_format(call: str) -> Iterator[None]:
    """Raise ``StoreError`` for an answer that does not have the published format."""
    try:
        yield
    except FORMAT_ERRORS as error:
        raise StoreError(
            f"{call}: malformed answer: {describe_error(error)}"
        ) from error


class Store:
    """A client of the store. Every call has a cost, including rejected ones."""

    def __init__(self, session: ClientSession, address: SocketAddress) -> None:
        self._session = session
        self._base = f"http://{address.host}:{address.port}/objects"
        self.calls = 0
        # The latest known era, and the time by the loop's clock when the restore that
        # began it was detected. A daemon that has just started cannot know how long ago
        # the restore was.
        self.era = UNKNOWN_ERA
        self.restored_at: Seconds = float("-inf")
        # When this client saw a known era end: the restore was just before.
        self.era_changed_at: Seconds = float("-inf")
        # Set, and replaced, when pending watches have to end.
        self._interruption = asyncio.Event()
        self._closing: set[asyncio.Task[None]] = set()
        self._reconnected_at: Seconds = float("-inf")

    def _record_era(self, call: str, headers: Mapping[str, str]) -> int:
        """Record the era of an answer; raises ``StoreError`` if it is an older one."""
        with _checking_format(call):
            era = read_era(headers)
        if era is None:
            return self.era
        if era < self.era:
            raise StoreError(f"{call}: answer of era {era}, current era is {self.era}")
        if era > self.era:
            if era > FIRST_ERA:
                self.restored_at = asyncio.get_running_loop().time()
                if self.era != UNKNOWN_ERA:
                    self.era_changed_at = self.restored_at
                log_decision(LOG, Decision.STORE_COPIED, era=era)
            self.era = era
            self._interrupt_watches()
        return era

    def reconnect(self) -> None:
        """Make all later calls over new connections, and end the watches that wait.

        Idle connections may be as silent as the one that showed it, and each call on
        one of them would be lost. Calls that are in progress go on. This is skipped
        within ``RECONNECT_INTERVAL``.
        """
        now = asyncio.get_running_loop().time()
        if now - self._reconnected_at < RECONNECT_INTERVAL:
            return
        self._reconnected_at = now
        former, self._session = self._session, open_store_session()
        closing = asyncio.create_task(_close_later(former))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)
        self._interrupt_watches()

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        for closing in self._closing:
            closing.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        await self._session.close()

    def _interrupt_watches(self) -> None:
        """End the pending watches, so that their callers call again at once."""
        self._interruption.set()
        self._interruption = asyncio.Event()

    async def list_objects(self, kind: str) -> Listing:
        """Return all objects of a kind; raises ``StoreError``."""
        objects: list[StoredObject] = []
        revision: Revision | None = None
        async for page in self._list_pages(kind):
            # The first page's revision is used, so that the watch that follows reports
            # the changes made during the listing.
            with _checking_format(kind):
                revision = revision or page.read_revision()
            _check_era(revision, page.era)
            with _checking_format(kind):
                objects.extend(decode_objects(page.body["items"], page.era))
        return Listing(tuple(objects), revision or NO_REVISION)

    async def _list_pages(self, kind: str) -> AsyncIterator[_Answer]:
        after = ""
        while True:
            query = {"after": after} if after else {}
            page = await self._call("GET", kind, query=query)
            yield page
            with _checking_format(kind):
                if not page.body.get("HasMore") or not page.body["items"]:
                    return
                after = _find_last_name(page.body["items"])

    async def watch(
        self,
        kind: str,
        revision: Revision,
        wait: Seconds,
        margin: Seconds = WATCH_MARGIN,
    ) -> Changes:
        """Wait for changes after a revision; raises ``StoreError``.

        ``margin`` is how long the answer may take in addition to the wait.

        Raises ``WatchInterrupted`` as soon as another call shows that the store was
        restored from a backup, or that connections to it are silent: an answer may come
        only when the wait is over, or never.
        """
        _check_era(revision, self.era)
        query = {"Watch": str(revision.number), "WaitMs": str(int(wait * 1000))}
        page = await self._call_until_interrupted(
            self._call("GET", kind, query=query, timeout=wait + margin)
        )
        _check_era(revision, page.era)
        with _checking_format(kind):
            changes = tuple(_decode_events(page.body["events"], page.era))
            return Changes(changes, page.read_revision())

    async def _call_until_interrupted(
        self, call: Coroutine[Any, Any, _Answer]
    ) -> _Answer:
        """Return a call's answer; raises ``WatchInterrupted`` if watches must end."""
        calling = asyncio.create_task(call)
        interrupted = asyncio.create_task(self._interruption.wait())
        try:
            await asyncio.wait(
                {calling, interrupted}, return_when=asyncio.FIRST_COMPLETED
            )
            if not calling.done():
                raise WatchInterrupted("a pending watch may never be answered")
            return await calling
        finally:
            calling.cancel()
            interrupted.cancel()

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None; raises ``StoreError``."""
        answer = await self._call("GET", f"{kind}/{name}")
        if answer.body is None:
            return None
        with _checking_format(f"{kind}/{name}"):
            return _decode_object(answer.body, answer.era)

    async def create(self, kind: str, name: str, content: Any) -> StoredObject:
        """Create an object; raises ``Conflict`` if it already exists."""
        body = {"Metadata": {"Name": name}, "Specification": content}
        stored = await self._call("POST", kind, body=body, timeout=WRITE_TIMEOUT)
        with _checking_format(kind):
            return _decode_object(stored.body, stored.era)

    async def replace(
        self, kind: str, name: str, revision: Revision, content: Any
    ) -> StoredObject:
        """Replace an object if it still has the given revision.

        Raises ``Conflict`` if it has another revision, and ``StaleEra`` if the store
        was restored from a backup before it answered: the revision number may then have
        matched another version of the object, and the write may have been applied.
        """
        _check_era(revision, self.era)
        metadata = {"Name": name, "Revision": revision.number}
        body = {"Metadata": metadata, "Specification": content}
        path = f"{kind}/{name}"
        stored = await self._call("PUT", path, body=body, timeout=WRITE_TIMEOUT)
        if stored.body is None:
            raise Conflict(None)
        _check_era(revision, stored.era)
        with _checking_format(path):
            return _decode_object(stored.body, stored.era)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        timeout: Seconds = CALL_TIMEOUT,
    ) -> _Answer:
        self.calls += 1
        session = self._session
        try:
            async with session.request(
                method,
                f"{self._base}/{path}",
                params=query,
                json=body,
                timeout=ClientTimeout(total=timeout, sock_connect=CALL_TIMEOUT),
            ) as answer:
                content = await read_bounded(answer)
        except (TimeoutError, ClientError, OSError) as error:
            if not _is_silence(error):
                raise StoreError(f"{method} {path}: {error!r}") from error
            if session is self._session:
                log_decision(LOG, Decision.STORE_SILENT, call=f"{method} {path}")
                self.reconnect()
            raise StoreSilent(f"{method} {path}: {error!r}") from error
        call = f"{method} {path}"
        era = self._record_era(call, answer.headers)
        return _Answer(era, _read_answer(call, answer.status, content, era))


def _is_silence(error: Exception) -> bool:
    """Return whether a call failed because nothing came back."""
    return isinstance(error, TimeoutError) or (
        isinstance(error, OSError) and error.errno == ETIMEDOUT
    )


async def _close_later(session: ClientSession) -> None:
    """Close a session once the calls that use it have ended."""
    try:
        await asyncio.sleep(CALL_TIMEOUT)
    finally:
        await session.close()


def _read_answer(call: str, status: int, content: bytes, era: int) -> Any:
    if status == NOT_FOUND:
        return None
    if status == HISTORY_GONE:
        raise HistoryGone(call)
    if status not in (OK, CREATED, CONFLICT):
        raise RequestRejected(f"{call}: status {status}")
    try:
        decoded = decode_page(content)
    except UndecodablePage as error:
        raise StoreError(f"{call}: {error}") from error
    if status == CONFLICT:
        has_object = isinstance(decoded, dict) and "Metadata" in decoded
        with _checking_format(call):
            raise Conflict(_decode_object(decoded, era) if has_object else None)
    return decoded


def open_store_session() -> ClientSession:
    """Return a session that never resends a call and detects dead connections quickly.

    A silent peer is detected within about two seconds.
    """

    def make_socket(address: Any) -> socket.socket:
        connection = socket.socket(address[0], address[1], address[2])
        harden_socket(connection)
        return connection

    session = ClientSession(
        connector=TCPConnector(limit=0, socket_factory=make_socket),
        timeout=ClientTimeout(total=None),
        auto_decompress=False,
    )
    # By default aiohttp resends GET and PUT when a reused connection ends before the
    # answer, and it has no public option to disable this.
    session._retry_connection = False
    bound_overhead(session)
    return session
