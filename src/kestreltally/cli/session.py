"""Runs the statements of one operator and prints their results."""

import asyncio
from typing import Any, Final

import click
import msgspec
from result import Err

from kestreltally.cli.output import print_rows
from kestreltally.operators.reading import CONFIG_TABLES, Reader, select_rows
from kestreltally.operators.statements import (
    Drain,
    Explain,
    Show,
    ShowTimeline,
    Statement,
)
from kestreltally.operators.writing import AppliedChange, Change, ChangeFailure, Writer
from kestreltally.timeline.events import MATCHED_FIELDS
from kestreltally.timeline.explain import explain_request
from kestreltally.timeline.merge import format_event, merge_events

EXIT_INVALID: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4
EXIT_UNKNOWN: Final = 5
EXIT_LAGGING: Final = 6
EXIT_STATUSES: Final = {
    ChangeFailure.INVALID: EXIT_INVALID,
    ChangeFailure.CONFLICT: EXIT_CONFLICT,
    ChangeFailure.UNAVAILABLE: EXIT_UNAVAILABLE,
    ChangeFailure.UNKNOWN: EXIT_UNKNOWN,
}
POLL_INTERVAL: Final = 0.1
PROGRESS_INTERVAL: Final = 10


class CommandFailed(Exception):
    """A statement failed; ``status`` is the exit status of the command."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class OperatorSession:
    """Executes statements on behalf of one operator."""

    def __init__(
        self,
        reader: Reader,
        writer: Writer,
        output: str,
        wait: float,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._output = output
        self._wait = wait

    async def run(
        self, statements: tuple[Statement, ...], dry_run: bool = False
    ) -> int:
        """Run statements in order and return the exit status.

        Raises ``CommandFailed`` at the first statement that fails.
        """
        revision = 0
        for number, statement in enumerate(statements, start=1):
            if len(statements) > PROGRESS_INTERVAL and number % PROGRESS_INTERVAL == 0:
                click.echo(f"{number} of {len(statements)} statements", err=True)
            revision = max(revision, await self._run_one(statement, dry_run))
        if revision and self._wait and not dry_run:
            return await self._wait_until_applied(revision)
        return 0

    async def _run_one(self, statement: Statement, dry_run: bool) -> int:
        """Run one statement; return the revision of its change, or 0 for none."""
        if isinstance(statement, Show):
            await self._show(statement)
        elif isinstance(statement, Explain):
            await self._explain(statement)
        elif isinstance(statement, ShowTimeline):
            await self._show_timeline(statement)
        elif isinstance(statement, Drain) and statement.target == "vm":
            return await self._drain_vm(statement, dry_run)
        else:
            return await self._change(statement, dry_run)
        return 0

    async def _change(self, change: Change, dry_run: bool) -> int:
        result = await self._writer.make(change, dry_run)
        if isinstance(result, Err):
            refused = result.err_value
            raise CommandFailed(refused.message, EXIT_STATUSES[refused.failure])
        applied = result.ok_value
        if dry_run:
            self._print_difference(applied)
            return 0
        row = {
            "changed": f"{applied.kind} {applied.name}",
            "revision": applied.revision,
        }
        print_rows([row], self._output)
        return applied.revision

    def _print_difference(self, applied: AppliedChange) -> None:
        before = (
            msgspec.to_builtins(applied.before) if applied.before is not None else {}
        )
        after = msgspec.to_builtins(applied.after) if applied.after is not None else {}
        rows = [
            {
                "object": f"{applied.kind} {applied.name}",
                "field": name,
                "before": before.get(name, "-"),
                "after": after.get(name, "-"),
            }
            for name in dict.fromkeys([*before, *after])
            if before.get(name) != after.get(name)
        ]
        print_rows(rows, self._output)

    async def _drain_vm(self, drain: Drain, dry_run: bool) -> int:
        endpoints = await self._reader.list_config("endpoint")
        names = [row["name"] for row in endpoints if row.get("vm") == drain.name]
        if not names:
            raise CommandFailed(f"no endpoint is on VM {drain.name!r}", EXIT_INVALID)
        revision = 0
        for name in names:
            one = Drain(target="endpoint", name=name, draining=drain.draining)
            revision = max(revision, await self._change(one, dry_run))
        return revision

    async def _show(self, show: Show) -> None:
        if show.table in CONFIG_TABLES:
            rows = await self._reader.list_config(CONFIG_TABLES[show.table])
        else:
            rows, unanswered = await self._reader.list_live(show.table)
            self._print_unanswered(unanswered)
        print_rows(select_rows(rows, show), self._output)

    def _print_unanswered(self, unanswered: list[str]) -> None:
        for url in unanswered:
            click.echo(f"no response from {url}: its rows are missing", err=True)

    async def _explain(self, explain: Explain) -> None:
        events, unanswered = await self._reader.fetch_events({})
        self._print_unanswered(unanswered)
        sentences = explain_request(events, explain.request)
        if self._output == "json":
            print_rows([{"sentence": each} for each in sentences], self._output)
            return
        for sentence in sentences:
            click.echo(sentence)

    async def _show_timeline(self, timeline: ShowTimeline) -> None:
        query: dict[str, str] = {}
        for condition in timeline.conditions:
            if condition.field not in MATCHED_FIELDS or condition.operator != "=":
                known = ", ".join(MATCHED_FIELDS)
                text = f"timeline takes 'FIELD = VALUE' with FIELD of: {known}"
                raise CommandFailed(text, EXIT_INVALID)
            query[condition.field] = str(condition.value)
        events, unanswered = await self._reader.fetch_events(query)
        self._print_unanswered(unanswered)
        merged = merge_events(events)
        shown = merged[-timeline.limit :] if timeline.limit else merged
        if self._output == "json":
            rows: list[dict[str, Any]] = msgspec.to_builtins(shown)
            print_rows(rows, self._output)
            return
        for event in shown:
            click.echo(format_event(event))

    async def _wait_until_applied(self, revision: int) -> int:
        """Wait until all daemons have applied a revision.

        On a timeout, prints the daemons that lag and returns ``EXIT_LAGGING``.
        """
        count = len(self._reader.daemons)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._wait
        while True:
            lagging = await self._reader.list_lagging(revision)
            if not lagging:
                click.echo(f"in force on {count} of {count} at revision {revision}")
                return 0
            if loop.time() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL)
        click.echo(
            f"in force on {count - len(lagging)} of {count} at revision {revision}; "
            f"not on: {', '.join(lagging)}",
            err=True,
        )
        return EXIT_LAGGING
