"""A client of the platform's store: lists, watches and conditional writes."""

import json
import logging
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from kestreltally.decisions import Decision, log_decision
from kestreltally.deployment import Listening
from kestreltally.fleet.model import Seconds
from kestreltally.platform.documents import ODD_FORM
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


class StoreError(Exception):
    """The store did not answer as asked; a write may still have been done."""


class StoreRefused(StoreError):
    """The store answered that nothing was done."""


class HistoryGone(StoreError):
    """The store no longer has the changes asked for: list again."""


class Conflict(StoreError):
    """The object has another revision, or exists already."""

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("another revision")
        self.current = current


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store; ``content`` is what its writer put there."""

    name: str
    revision: int
    content: Any


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at a revision of the store."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """An object that was written, or deleted when ``gone``."""

    object: StoredObject
    gone: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind up to a revision of the store."""

    changes: tuple[Change, ...]
    revision: int


def _decode_object(item: dict[str, Any]) -> StoredObject:
    metadata = item["Metadata"]
    if not isinstance(metadata["Name"], str):
        raise TypeError("an object without a name")
    return StoredObject(
        name=metadata["Name"],
        revision=int(metadata["Revision"]),
        content=item.get("Specification"),
    )


def read_listed(items: list[Any]) -> list[StoredObject]:
    """Return the objects of a page; what is no object is left out."""
    objects = []
    for item in items:
        try:
            objects.append(_decode_object(item))
        except ODD_FORM as error:
            log_decision(LOG, Decision.OBJECT_REJECTED, reason=repr(error))
    return objects


def read_page(call: str, content: bytes) -> Any:
    """Return what a body holds; raises ``StoreError``.

    Where a writer has put bytes that are no text, they alone are lost.
    """
    try:
        return json.loads(content.decode("utf-8", "replace"), strict=False)
    except ValueError as error:
        raise StoreError(f"{call}: not JSON: {error}") from error


class Store:
    """Calls to the store. Every call is priced, also one that is refused."""

    def __init__(self, session: ClientSession, address: Listening) -> None:
        self._session = session
        self._base = f"http://{address.host}:{address.port}/objects"
        self.calls = 0

    async def list_objects(self, kind: str) -> Listing:
        """Return all objects of a kind; raises ``StoreError``."""
        objects: list[StoredObject] = []
        revision = 0
        async for page in self._list_pages(kind):
            objects.extend(read_listed(page["items"]))
            # The first page's revision: what changes during the listing is
            # then seen again by the watch.
            revision = revision or int(page["CurrentRev"])
        return Listing(tuple(objects), revision)

    async def _list_pages(self, kind: str) -> AsyncIterator[Any]:
        after = ""
        while True:
            query = {"after": after} if after else {}
            page = await self._call("GET", kind, query=query)
            yield page
            if not page.get("HasMore") or not page["items"]:
                return
            after = page["items"][-1]["Metadata"]["Name"]

    async def watch(self, kind: str, revision: int, wait: Seconds) -> Changes:
        """Wait for changes after a revision; raises ``StoreError``."""
        query = {"Watch": str(revision), "WaitMs": str(int(wait * 1000))}
        page = await self._call("GET", kind, query=query, limit=wait + WATCH_MARGIN)
        changes = tuple(
            Change(each, bool(event["Tombstone"]))
            for event in page["events"]
            for each in read_listed([event["Object"]])
        )
        return Changes(changes, int(page["CurrentRev"]))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or none; raises ``StoreError``."""
        item = await self._call("GET", f"{kind}/{name}")
        return _decode_object(item) if item is not None else None

    async def create(self, kind: str, name: str, content: Any) -> StoredObject:
        """Make an object; raises ``Conflict`` when there is one."""
        body = {"Metadata": {"Name": name}, "Specification": content}
        written = await self._call("POST", kind, body=body, limit=WRITE_TIMEOUT)
        return _decode_object(written)

    async def replace(
        self, kind: str, name: str, revision: int, content: Any
    ) -> StoredObject:
        """Replace an object of a known revision; raises ``Conflict`` for another."""
        metadata = {"Name": name, "Revision": revision}
        body = {"Metadata": metadata, "Specification": content}
        path = f"{kind}/{name}"
        written = await self._call("PUT", path, body=body, limit=WRITE_TIMEOUT)
        if written is None:
            raise Conflict(None)
        return _decode_object(written)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        limit: Seconds = CALL_TIMEOUT,
    ) -> Any:
        self.calls += 1
        try:
            async with self._session.request(
                method,
                f"{self._base}/{path}",
                params=query,
                json=body,
                timeout=ClientTimeout(total=limit, sock_connect=CALL_TIMEOUT),
            ) as answer:
                content = await answer.read()
        except (TimeoutError, ClientError, OSError) as error:
            raise StoreError(f"{method} {path}: {error!r}") from error
        return _read_answer(f"{method} {path}", answer.status, content)


def _read_answer(call: str, status: int, content: bytes) -> Any:
    if status == NOT_FOUND:
        return None
    if status == HISTORY_GONE:
        raise HistoryGone(call)
    if status not in (OK, CREATED, CONFLICT):
        raise StoreRefused(f"{call}: status {status}")
    decoded = read_page(call, content)
    if status == CONFLICT:
        known = isinstance(decoded, dict) and "Metadata" in decoded
        raise Conflict(_decode_object(decoded) if known else None)
    return decoded


def open_store_session() -> ClientSession:
    """Return a session that sends each call once and notices a cut in seconds."""

    def make_socket(address: Any) -> socket.socket:
        connection = socket.socket(address[0], address[1], address[2])
        harden_socket(connection)
        return connection

    session = ClientSession(
        connector=TCPConnector(limit=0, socket_factory=make_socket),
        timeout=ClientTimeout(total=None),
        auto_decompress=False,
    )
    # By itself aiohttp sends GET and PUT a second time when a kept connection ends
    # before the answer, and has no public switch for it.
    session._retry_connection = False
    return session
