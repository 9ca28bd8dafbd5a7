"""Commands that read the daemons' log files."""

import sys
from typing import TextIO

import click

from kestreltally.timeline.loglines import (
    count_causes,
    explain_request,
    read_lines,
)

EXIT_NOT_FOUND = 1
FILES = click.argument("files", nargs=-1, required=True, type=click.File("r"))


@click.group()
def logs() -> None:
    """Read the daemons' log files."""


@logs.command()
@click.argument("request")
@FILES
def explain(request: str, files: tuple[TextIO, ...]) -> None:
    """Explain the outcome of a request from the log lines of all daemons."""
    explanation = explain_request(read_lines(files), request)
    if explanation is None:
        click.echo(f"no log line names request {request}", err=True)
        sys.exit(EXIT_NOT_FOUND)
    click.echo(f"request {request}: {explanation.cause}")
    for sentence in explanation.sentences:
        click.echo(f"  {sentence}")
    if explanation.nearby:
        click.echo(
            "related decisions (by that daemon shortly before, or on the same content):"
        )
        for line in explanation.nearby:
            click.echo(f"  {line}")


@logs.command()
@FILES
def causes(files: tuple[TextIO, ...]) -> None:
    """Count the requests that were not served, by cause."""
    counted = count_causes(read_lines(files))
    for cause, count in sorted(counted.items(), key=lambda each: -each[1]):
        click.echo(f"{count:8d}  {cause}")
