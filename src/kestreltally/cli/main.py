"""The command ``kestreltally`` for operators."""

import asyncio
import getpass
import json
import sys
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeVar

import click
import msgspec
import yaml
from prompt_toolkit import PromptSession
from prompt_toolkit.history import InMemoryHistory

from kestreltally.callers.identity import digest_key
from kestreltally.cli.logs import logs
from kestreltally.cli.output import print_rows
from kestreltally.cli.session import (
    EXIT_INVALID,
    EXIT_UNAVAILABLE,
    CommandFailed,
    OperatorSession,
)
from kestreltally.objectapi.http import open_session
from kestreltally.objectapi.objects import HttpObjectApi
from kestreltally.operators.reading import Reader, UnknownField
from kestreltally.operators.statements import InvalidStatement, parse_statements
from kestreltally.operators.writing import Writer
from kestreltally.ports import PlatformError
from kestreltally.timeline.merge import export_trace

ENVIRONMENT_PREFIX: Final = "KESTRELTALLY"
DEFAULT_SETTINGS: Final = "kestreltally.yaml"
OBJECT_API_TIMEOUT: Final = 2.0
# These commands only read the files given as arguments.
COMMANDS_WITHOUT_SETTINGS: Final = frozenset({"logs"})
T = TypeVar("T")


@dataclass(frozen=True)
class OperatorSettings:
    """Settings of the command line: URLs of the object API and the daemons."""

    object_api: str
    daemons: tuple[str, ...] = ()


@dataclass(frozen=True)
class Options:
    """Options common to all commands."""

    settings: OperatorSettings
    operator: str
    output: str
    wait: float


def load_operator_settings(path: Path) -> OperatorSettings:
    """Load the settings from a file; raises ``click.ClickException``."""
    try:
        plain = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(plain, OperatorSettings)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from error
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise click.ClickException(f"{path}: {error}") from error


async def _with_session(
    options: Options,
    statements: str,
    dry_run: bool = False,
) -> int:
    async with open_session() as http:
        objects = HttpObjectApi(http, options.settings.object_api, OBJECT_API_TIMEOUT)
        session = OperatorSession(
            reader=Reader(http, objects, options.settings.daemons),
            writer=Writer(objects, options.operator),
            output=options.output,
            wait=options.wait,
        )
        return await session.run(parse_statements(statements), dry_run)


def run_statements(options: Options, text: str, dry_run: bool = False) -> int:
    """Run statements, print their results and return the exit status."""
    try:
        return _run(_with_session(options, text, dry_run))
    except InvalidStatement as error:
        click.echo(str(error), err=True)
        return EXIT_INVALID
    except (CommandFailed, UnknownField) as error:
        click.echo(str(error), err=True)
        return error.status if isinstance(error, CommandFailed) else EXIT_INVALID
    except PlatformError as error:
        click.echo(str(error), err=True)
        return EXIT_UNAVAILABLE


def _run(work: Coroutine[Any, Any, T]) -> T:
    return asyncio.run(work)


@click.group(context_settings={"auto_envvar_prefix": ENVIRONMENT_PREFIX})
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    default=DEFAULT_SETTINGS,
    show_default=True,
    help="YAML with object_api and daemons.",
)
@click.option("--operator", default=getpass.getuser, help="Who makes the changes.")
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
@click.option(
    "--wait",
    type=float,
    default=0.0,
    help="Wait up to so many seconds until changes are in force on every daemon.",
)
@click.pass_context
def main(
    context: click.Context,
    path: Path,
    operator: str,
    output: str,
    wait: float,
) -> None:
    """Drive and inspect kestreltally.

    Exit status: 0 done, 2 wrong use or invalid, 3 conflict with another
    operator, 4 the platform is not available, 5 outcome not known, 6 not in
    force everywhere in time.
    """
    if (
        context.resilient_parsing
        or context.invoked_subcommand in COMMANDS_WITHOUT_SETTINGS
    ):
        return
    context.obj = Options(
        settings=load_operator_settings(path),
        operator=operator,
        output=output,
        wait=wait,
    )


main.add_command(logs)


@main.command("run")
@click.argument("statements", nargs=-1, required=True)
@click.pass_obj
def run_command(options: Options, statements: tuple[str, ...]) -> None:
    """Run statements of the operators' language."""
    sys.exit(run_statements(options, " ".join(statements)))


@main.command("apply")
@click.option(
    "-f",
    "--file",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option("--dry-run", is_flag=True, help="Only show what would change.")
@click.pass_obj
def apply_command(options: Options, path: Path, dry_run: bool) -> None:
    """Run the statements in a file."""
    sys.exit(run_statements(options, path.read_text(encoding="utf-8"), dry_run))


@main.command("prompt")
@click.pass_obj
def prompt_command(options: Options) -> None:
    """Read statements from a prompt with history; Ctrl-D or Ctrl-C exits."""
    session: PromptSession[str] = PromptSession(history=InMemoryHistory())
    while True:
        try:
            text = session.prompt("kestreltally> ")
        except (EOFError, KeyboardInterrupt):
            return
        if text.strip():
            run_statements(options, text)


@main.command("trace")
@click.argument("path", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def trace_command(options: Options, path: Path) -> None:
    """Write the merged time line to a file in the Chrome trace format."""
    trace = _run(_export(options))
    path.write_text(json.dumps(trace), encoding="utf-8")
    click.echo(f"{len(trace['traceEvents'])} events written to {path}")


async def _export(options: Options) -> dict[str, Any]:
    async with open_session() as http:
        objects = HttpObjectApi(http, options.settings.object_api, OBJECT_API_TIMEOUT)
        reader = Reader(http, objects, options.settings.daemons)
        events, _ = await reader.fetch_events({})
    return export_trace(events)


@main.command("digest")
@click.argument("key")
@click.pass_obj
def digest_command(options: Options, key: str) -> None:
    """Print the digest of a caller's key, as the configuration stores it."""
    print_rows([{"digest": digest_key(key)}], options.output)


if __name__ == "__main__":
    main()
