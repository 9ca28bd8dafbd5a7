"""Output of rows as a table or as JSON."""

import json
from typing import Any

import click


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "-"
    return "-" if value in ("", None) else str(value)


def format_table(rows: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table with a header line."""
    if not rows:
        return ["(none)"]
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_format_value(row.get(name)) for name in names] for row in rows]
    widths = [
        max(len(name), *(len(line[column]) for line in cells))
        for column, name in enumerate(names)
    ]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in [names, *cells]
    ]
    return [line.rstrip() for line in lines]


def print_rows(rows: list[dict[str, Any]], output: str) -> None:
    """Print rows as JSON if ``output`` is ``json``, else as a table."""
    if output == "json":
        click.echo(json.dumps(rows))
        return
    for line in format_table(rows):
        click.echo(line)
