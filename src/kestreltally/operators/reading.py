"""Queries of operators: configuration, live tables and the time line."""

import asyncio
from typing import Any, Final

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from kestreltally.entities.configuration import (
    CONFIG_PREFIX,
    MalformedObject,
    parse_config_object,
)
from kestreltally.operators.statements import Condition, Show
from kestreltally.ports import ObjectApi
from kestreltally.timeline.events import Event, read_events

TIMEOUT: Final = 2.0
CONFIG_TABLES: Final = {
    "models": "model",
    "adapters": "adapter",
    "rules": "rule",
    "callers": "caller",
    "endpoints": "endpoint",
}
SECRET_FIELDS: Final = frozenset({"key_digests"})

Row = dict[str, Any]


class UnknownField(ValueError):
    """A condition or a sort order names a field that the rows do not have."""


def _matches(row: Row, condition: Condition) -> bool:
    if condition.field not in row:
        known = ", ".join(row)
        raise UnknownField(f"no field {condition.field!r}; known fields: {known}")
    actual, expected = row[condition.field], condition.value
    if condition.operator == "~":
        return str(expected).lower() in str(actual).lower()
    if isinstance(actual, str) or isinstance(expected, str):
        actual, expected = str(actual), str(expected)
    if isinstance(actual, list | tuple):
        actual, expected = list(actual), list(expected)
    return bool(
        {
            "=": lambda: actual == expected,
            "!=": lambda: actual != expected,
            "<": lambda: actual < expected,
            "<=": lambda: actual <= expected,
            ">": lambda: actual > expected,
            ">=": lambda: actual >= expected,
        }[condition.operator]()
    )


def select_rows(rows: list[Row], show: Show) -> list[Row]:
    """Filter, sort and limit rows as a ``show`` statement requests.

    Raises ``UnknownField``.
    """
    matching = [row for row in rows if all(_matches(row, c) for c in show.conditions)]
    if show.order_by:
        if matching and show.order_by not in matching[0]:
            known = ", ".join(matching[0])
            raise UnknownField(f"no field {show.order_by!r}; known fields: {known}")
        matching.sort(key=lambda row: row[show.order_by], reverse=show.descending)
    return matching[: show.limit] if show.limit else matching


class Reader:
    """Reads from the object API and concurrently from all daemons."""

    def __init__(
        self,
        session: ClientSession,
        objects: ObjectApi,
        daemons: tuple[str, ...],
    ) -> None:
        self._session = session
        self._objects = objects
        self.daemons = daemons

    async def list_config(self, kind: str) -> list[Row]:
        """Return the objects of one kind as rows, without secret fields.

        A malformed object becomes a row with its key and the error.
        """
        listing = await self._objects.list(f"{CONFIG_PREFIX}{kind}/")
        rows: list[Row] = []
        for stored in sorted(listing.objects, key=lambda each: each.key):
            try:
                read = parse_config_object(stored.key, stored.value, stored.revision)
            except MalformedObject as error:
                rows.append({"name": stored.key, "error": str(error)})
                continue
            if read.value is None:
                continue
            plain = msgspec.to_builtins(read.value)
            row = {key: val for key, val in plain.items() if key not in SECRET_FIELDS}
            rows.append({**row, "revision": read.revision, "by": read.by})
        return rows

    async def _get(self, url: str, path: str, query: dict[str, str]) -> Any:
        """Return a daemon's JSON response.

        Returns None if the daemon does not respond, or with a status other than 200.
        """
        try:
            async with self._session.get(
                f"{url}{path}",
                params=query,
                timeout=ClientTimeout(total=TIMEOUT),
            ) as response:
                return await response.json() if response.status == 200 else None
        except (ClientError, TimeoutError):
            return None

    async def _get_all(self, path: str, query: dict[str, str]) -> list[Any]:
        calls = [self._get(url, path, query) for url in self.daemons]
        return list(await asyncio.gather(*calls))

    async def list_live(self, table: str) -> tuple[list[Row], list[str]]:
        """Return a table's rows of all daemons, and the URLs without a response."""
        answers = await self._get_all(f"/state/{table}", {})
        rows = [row for answer in answers if answer for row in answer["rows"]]
        unanswered = [
            url
            for url, answer in zip(self.daemons, answers, strict=True)
            if answer is None
        ]
        return rows, unanswered

    async def fetch_events(
        self, query: dict[str, str]
    ) -> tuple[list[Event], list[str]]:
        """Return the events of all daemons, and the URLs without a response."""
        answers = await self._get_all("/timeline", query)
        events = [
            event
            for answer in answers
            if answer
            for event in read_events(answer["events"])
        ]
        unanswered = [
            url
            for url, answer in zip(self.daemons, answers, strict=True)
            if answer is None
        ]
        return events, unanswered

    async def list_lagging(self, revision: int) -> list[str]:
        """Return the URLs of the daemons that have not applied a revision yet.

        A daemon that does not respond counts as lagging.
        """
        answers = await self._get_all("/state/daemons", {})
        return [
            url
            for url, answer in zip(self.daemons, answers, strict=True)
            if answer is None or answer["rows"][0]["revision"] < revision
        ]
