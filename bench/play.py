"""Run stand-ins and three daemons for manual tests, until ``down``."""

import asyncio
import contextlib
import json
import os
import signal
import time
from pathlib import Path
from typing import Final

import click

from bench.cluster import REPOSITORY, Cluster, ClusterSpec
from bench.demo import KEY, write_statements
from kestreltally.cli.main import main as operate

DIRECTORY: Final = REPOSITORY / "run"
STATE: Final = DIRECTORY / "processes.json"
STOP_TIMEOUT: Final = 20.0


@click.group()
def main() -> None:
    """Start or stop a cluster for manual tests."""


@main.command()
def up() -> None:
    """Start the cluster."""
    if STATE.exists():
        raise click.ClickException(
            "the cluster is already running; 'make down' stops it"
        )
    cluster = Cluster(ClusterSpec(directory=DIRECTORY))
    asyncio.run(cluster.start())
    pids = {name: process.pid for name, process in cluster.processes.items()}
    STATE.write_text(json.dumps(pids), encoding="utf-8")
    statements = DIRECTORY / "start.kt"
    statements.write_text(write_statements(cluster), encoding="utf-8")
    settings = str(DIRECTORY / "kestreltally.yaml")
    with contextlib.suppress(SystemExit):
        operate(
            ["--settings", settings, "--wait", "10", "apply", "-f", str(statements)]
        )
    click.echo(f"callers: {cluster.callers_url(0)} with key {KEY}")
    click.echo(f"operators: kestreltally --settings {settings} prompt")


def _is_running(pid: int) -> bool:
    """Return whether a process is a stand-in or daemon, as ``up`` starts them."""
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return False
    return b"standins." in command or b"kestreltally.daemon" in command


@main.command()
def down() -> None:
    """Stop the cluster: daemons as planned, then the stand-ins."""
    if not STATE.exists():
        raise click.ClickException("the cluster is not running")
    pids = json.loads(STATE.read_text(encoding="utf-8"))
    running = {name: pid for name, pid in pids.items() if _is_running(pid)}
    daemons = {name: pid for name, pid in running.items() if name.startswith("vm-")}
    for pid in daemons.values():
        os.kill(pid, signal.SIGTERM)
    limit = time.monotonic() + STOP_TIMEOUT
    while time.monotonic() < limit:
        if not any(_is_running(pid) for pid in daemons.values()):
            break
        time.sleep(0.1)
    for pid in running.values():
        if _is_running(pid):
            os.kill(pid, signal.SIGKILL)
    STATE.unlink()
    click.echo(f"stopped {len(running)} processes")


if __name__ == "__main__":
    main()
