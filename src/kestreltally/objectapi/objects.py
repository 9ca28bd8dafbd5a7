"""HTTP client of the object API."""

from typing import Any, Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from aiohttp.client_exceptions import ClientConnectorError
from result import Err, Ok, Result

from kestreltally.entities.ids import Seconds
from kestreltally.ports import (
    AnswerLost,
    Conflict,
    Listing,
    ObjectApiDown,
    StoredObject,
)
from kestreltally.sessions import read_bounded

STATUS_CONFLICT: Final = 409
STATUS_TOO_MANY: Final = 429
STATUS_UNAVAILABLE: Final = 503
REFUSED_STATUSES: Final = frozenset({STATUS_TOO_MANY, STATUS_UNAVAILABLE})
WATCH_TIMEOUT_MARGIN: Final[Seconds] = 2.0
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class HttpObjectApi:
    """Implements the port ``ObjectApi``."""

    def __init__(self, session: ClientSession, url: str, timeout: Seconds) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = timeout

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any = None,
        timeout: Seconds | None = None,
    ) -> tuple[int, Any]:
        """Return the status and the decoded JSON body of a response.

        Raises ``ObjectApiDown`` if the request was not sent or was refused, and
        ``AnswerLost`` if it may have taken effect.
        """
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method,
                f"{self._url}{path}",
                params=query,
                data=data,
                headers=JSON_HEADERS,
                timeout=ClientTimeout(total=timeout or self._timeout),
            ) as response:
                raw = await read_bounded(response)
                status = response.status
        except ClientConnectorError as error:
            raise ObjectApiDown(f"object API: connection failed: {error}") from error
        except (ClientError, TimeoutError) as error:
            raise AnswerLost(f"object API: no response: {error!r}") from error
        if status in REFUSED_STATUSES:
            raise ObjectApiDown(f"object API: refused with status {status}")
        try:
            return status, msgspec.json.decode(raw)
        except msgspec.DecodeError as error:
            raise AnswerLost(
                f"object API: response is not valid JSON: {error}"
            ) from error

    async def read(self, key: str) -> StoredObject:
        """Return the object, with version 0 if it does not exist."""
        _, plain = await self._call("GET", "/object", {"key": key})
        return msgspec.convert(plain, StoredObject)

    async def list(self, prefix: str) -> Listing:
        """Return all objects under a prefix."""
        _, plain = await self._call("GET", "/objects", {"prefix": prefix}, timeout=10.0)
        return msgspec.convert(plain, Listing)

    async def write(
        self,
        key: str,
        value: Any,
        expected_version: int | None,
    ) -> Result[StoredObject, Conflict]:
        """Write an object if its version is the expected one.

        An expected version of 0 means that the object must not exist; None writes
        unconditionally.
        """
        query = {"key": key}
        if expected_version is not None:
            query["expected"] = str(expected_version)
        status, plain = await self._call("PUT", "/object", query, {"value": value})
        stored = msgspec.convert(plain, StoredObject)
        if status == STATUS_CONFLICT:
            return Err(Conflict(current=stored))
        return Ok(stored)

    async def delete(self, key: str, expected_version: int) -> bool:
        """Delete an object if its version is the expected one.

        Returns False on a version conflict.
        """
        query = {"key": key, "expected": str(expected_version)}
        status, _ = await self._call("DELETE", "/object", query)
        return status != STATUS_CONFLICT

    async def watch(self, prefix: str, after: int, wait: Seconds) -> Listing:
        """Wait up to ``wait`` seconds for changes after a revision.

        The listing is empty if nothing changed in that time.
        """
        query = {"prefix": prefix, "after": str(after), "wait": str(wait)}
        _, plain = await self._call(
            "GET",
            "/watch",
            query,
            timeout=wait + WATCH_TIMEOUT_MARGIN,
        )
        return msgspec.convert(plain, Listing)
