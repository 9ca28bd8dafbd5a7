"""A client of the platform's store: lists, watches and conditional writes.

The store may come back from a copy of some seconds ago. Revisions go back then and are
given out again, so each is bound to the era in which it was told: a condition or a
watch of another era would speak of another object, or pass over changes.
"""

import asyncio
import json
import logging
import socket
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import Seconds
from kestreltally.platform.documents import FORMAT_ERRORS
from kestreltally.sockets import harden_socket

LOG = logging.getLogger("kestreltally.store")

# A call is answered in some ms; the slowest store tried takes some 300.
CALL_TIMEOUT: Final[Seconds] = 1.5
# Writes are short and often urgent.
WRITE_TIMEOUT: Final[Seconds] = 0.6
# How much longer than its wait a watch may take to answer.
WATCH_MARGIN: Final[Seconds] = 0.8
HISTORY_GONE: Final = 410
CONFLICT: Final = 409
NOT_FOUND: Final = 404
OK: Final = 200
CREATED: Final = 201
_ERA: Final = "Store-Era"
# The era before any return from a copy, and what stands for one that is not told.
FIRST_ERA: Final = 0
UNKNOWN_ERA: Final = -1
# What others had written is written again within some two seconds of the return, as
# what has lapsed while the store was away.
REWRITE_WINDOW: Final[Seconds] = 2.2


class Revision(NamedTuple):
    """A place in the store's history; numbers say something within an era only."""

    era: int
    number: int


NO_REVISION: Final = Revision(UNKNOWN_ERA, 0)


class StoreError(Exception):
    """The store did not answer as asked; a write may still have been done."""


class RequestRejected(StoreError):
    """The store answered that nothing was done."""


class HistoryGone(StoreError):
    """The store no longer has the changes asked for: list again."""


class StaleEra(HistoryGone):
    """The store has come back from a copy: what is known of it is of an older era.

    A write may have been done under a condition that no longer says what it said.
    """


class Conflict(StoreError):
    """The object has another revision, or exists already."""

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("another revision")
        self.current = current


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store; ``content`` is what its writer put there."""

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
    """An object that was written, or deleted when ``deleted``."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class _Answer:
    """What the store answered, and in which era."""

    era: int
    body: Any

    def read_revision(self) -> Revision:
        """Return the store's revision that a listing or a watch names."""
        return Revision(self.era, int(self.body["CurrentRev"]))


def lacks_writes(restored_at: Seconds, at: Seconds) -> bool:
    """Tell whether a store that came back lacked others' writes still at a moment."""
    return at - restored_at < REWRITE_WINDOW


def _check_era(revision: Revision, era: int) -> None:
    """Raise ``StaleEra`` where a revision is of an older era than is known."""
    if revision.era != era:
        raise StaleEra(f"era {revision.era} has passed, {era} is known")


def read_era(headers: Mapping[str, str]) -> int | None:
    """Return the era that an answer names, none where it names none."""
    text = headers.get(_ERA, "")
    return int(text) if text.isascii() and text.isdigit() else None


def _decode_object(item: dict[str, Any], era: int) -> StoredObject:
    metadata = item["Metadata"]
    if not isinstance(metadata["Name"], str):
        raise TypeError("an object without a name")
    return StoredObject(
        name=metadata["Name"],
        revision=Revision(era, int(metadata["Revision"])),
        content=item.get("Specification"),
    )


def decode_objects(items: list[Any], era: int = UNKNOWN_ERA) -> list[StoredObject]:
    """Return the objects of a page; what is no object is left out."""
    objects = []
    for item in items:
        try:
            objects.append(_decode_object(item, era))
        except FORMAT_ERRORS as error:
            log_decision(LOG, Decision.OBJECT_REJECTED, reason=repr(error))
    return objects


def decode_page(call: str, content: bytes) -> Any:
    """Return what a body holds; raises ``StoreError``.

    Where a writer has put bytes that are no text, they alone are lost.
    """
    try:
        return json.loads(content.decode("utf-8", "replace"), strict=False)
    except ValueError as error:
        raise StoreError(f"{call}: not JSON: {error}") from error


class Store:
    """Calls to the store. Every call is priced, also one that is refused."""

    def __init__(self, session: ClientSession, address: SocketAddress) -> None:
        self._session = session
        self._base = f"http://{address.host}:{address.port}/objects"
        self.calls = 0
        # The latest era that was told, and when it was first known that the store had
        # come back from a copy, by the loop's clock. Who has just started cannot tell
        # how long ago that was.
        self.era = UNKNOWN_ERA
        self.restored_at: Seconds = float("-inf")

    def _record_era(self, call: str, headers: Mapping[str, str]) -> int:
        """Take in the era of an answer; raises ``StoreError`` for a late one's."""
        era = read_era(headers)
        if era is None:
            return self.era
        if era < self.era:
            raise StoreError(f"{call}: an answer of era {era}, {self.era} is known")
        if era > self.era:
            if era > FIRST_ERA:
                self.restored_at = asyncio.get_running_loop().time()
                log_decision(LOG, Decision.STORE_COPIED, era=era)
            self.era = era
        return era

    async def list_objects(self, kind: str) -> Listing:
        """Return all objects of a kind; raises ``StoreError``."""
        objects: list[StoredObject] = []
        revision: Revision | None = None
        async for page in self._list_pages(kind):
            # The first page's revision: what changes during the listing is
            # then seen again by the watch.
            revision = revision or page.read_revision()
            _check_era(revision, page.era)
            objects.extend(decode_objects(page.body["items"], page.era))
        return Listing(tuple(objects), revision or NO_REVISION)

    async def _list_pages(self, kind: str) -> AsyncIterator[_Answer]:
        after = ""
        while True:
            query = {"after": after} if after else {}
            page = await self._call("GET", kind, query=query)
            yield page
            if not page.body.get("HasMore") or not page.body["items"]:
                return
            after = page.body["items"][-1]["Metadata"]["Name"]

    async def watch(self, kind: str, revision: Revision, wait: Seconds) -> Changes:
        """Wait for changes after a revision; raises ``StoreError``."""
        _check_era(revision, self.era)
        query = {"Watch": str(revision.number), "WaitMs": str(int(wait * 1000))}
        page = await self._call("GET", kind, query=query, timeout=wait + WATCH_MARGIN)
        _check_era(revision, page.era)
        changes = tuple(
            Change(each, bool(event["Tombstone"]))
            for event in page.body["events"]
            for each in decode_objects([event["Object"]], page.era)
        )
        return Changes(changes, page.read_revision())

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or none; raises ``StoreError``."""
        answer = await self._call("GET", f"{kind}/{name}")
        if answer.body is None:
            return None
        return _decode_object(answer.body, answer.era)

    async def create(self, kind: str, name: str, content: Any) -> StoredObject:
        """Make an object; raises ``Conflict`` when there is one."""
        body = {"Metadata": {"Name": name}, "Specification": content}
        stored = await self._call("POST", kind, body=body, timeout=WRITE_TIMEOUT)
        return _decode_object(stored.body, stored.era)

    async def replace(
        self, kind: str, name: str, revision: Revision, content: Any
    ) -> StoredObject:
        """Replace an object of a known revision.

        Raises ``Conflict`` for another revision, and ``StaleEra`` where the store
        came back from a copy before it answered: the number may have been another
        object's, and the write done all the same.
        """
        _check_era(revision, self.era)
        metadata = {"Name": name, "Revision": revision.number}
        body = {"Metadata": metadata, "Specification": content}
        path = f"{kind}/{name}"
        stored = await self._call("PUT", path, body=body, timeout=WRITE_TIMEOUT)
        if stored.body is None:
            raise Conflict(None)
        _check_era(revision, stored.era)
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
        try:
            async with self._session.request(
                method,
                f"{self._base}/{path}",
                params=query,
                json=body,
                timeout=ClientTimeout(total=timeout, sock_connect=CALL_TIMEOUT),
            ) as answer:
                content = await answer.read()
        except (TimeoutError, ClientError, OSError) as error:
            raise StoreError(f"{method} {path}: {error!r}") from error
        call = f"{method} {path}"
        era = self._record_era(call, answer.headers)
        return _Answer(era, _read_answer(call, answer.status, content, era))


def _read_answer(call: str, status: int, content: bytes, era: int) -> Any:
    if status == NOT_FOUND:
        return None
    if status == HISTORY_GONE:
        raise HistoryGone(call)
    if status not in (OK, CREATED, CONFLICT):
        raise RequestRejected(f"{call}: status {status}")
    decoded = decode_page(call, content)
    if status == CONFLICT:
        has_object = isinstance(decoded, dict) and "Metadata" in decoded
        raise Conflict(_decode_object(decoded, era) if has_object else None)
    return decoded


def open_store_session() -> ClientSession:
    """Return a session that sends each call once and notices a cut in seconds."""

    def make_socket(address: Any) -> socket.socket:
        connection = socket.socket(address[0], address[1], address[2])
        harden_socket(connection)
        return connection

    session = ClientSession(
        connector=TCPConnector(timeout=0, socket_factory=make_socket),
        timeout=ClientTimeout(total=None),
        auto_decompress=False,
    )
    # By itself aiohttp sends GET and PUT a second time when a kept connection ends
    # before the answer, and has no public switch for it.
    session._retry_connection = False
    return session
