"""Starts stand-ins and daemons as processes on loopback, and stops only these."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, NoReturn

import click
import yaml
from aiohttp import ClientError, ClientSession, ClientTimeout

HOST: Final = "127.0.0.1"
START_TIMEOUT: Final = 15.0
STOP_TIMEOUT: Final = 20.0
POLL_INTERVAL: Final = 0.05
# Length of the end of each log that a failed demo prints, characters.
LOG_TAIL: Final = 1200
REPOSITORY: Final = Path(__file__).resolve().parent.parent


@dataclass(frozen=True)
class ClusterSpec:
    """Sizes and options of a cluster; ports are assigned from ``base_port`` upwards."""

    directory: Path
    base_port: int = 20_000
    daemons: int = 3
    engines: int = 3
    services: int = 1
    data_centres: int = 3
    engine_options: dict[str, Any] = field(default_factory=dict)
    objects_options: dict[str, Any] = field(default_factory=dict)
    weights_options: dict[str, Any] = field(default_factory=dict)
    daemon_settings: dict[str, Any] = field(default_factory=dict)


class Cluster:
    """The processes started by this program."""

    def __init__(self, spec: ClusterSpec) -> None:
        self.spec = spec
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        spec.directory.mkdir(parents=True, exist_ok=True)

    # Addresses

    def url(self, name: str) -> str:
        """Return the URL of a stand-in."""
        return f"http://{HOST}:{self.port(name)}"

    def port(self, name: str) -> int:
        """Return the port of a stand-in."""
        base = self.spec.base_port
        fixed = {"objects": base, "vms": base + 1, "weights": base + 2}
        if name in fixed:
            return fixed[name]
        kind, _, number = name.partition("-")
        offset = {"engine": 10, "service": 60}[kind]
        return base + offset + int(number)

    def daemon_ports(self, number: int) -> dict[str, int]:
        """Return the ports of one daemon by listener."""
        base = self.spec.base_port + 100 + 3 * number
        return {"callers": base, "peers": base + 1, "operators": base + 2}

    def callers_url(self, number: int) -> str:
        """Return a daemon's URL for callers."""
        return f"http://{HOST}:{self.daemon_ports(number)['callers']}"

    def operators_url(self, number: int) -> str:
        """Return a daemon's URL for operators."""
        return f"http://{HOST}:{self.daemon_ports(number)['operators']}"

    def data_centre(self, number: int) -> str:
        """Return the data centre of the daemon or endpoint with a number."""
        return f"dc-{number % self.spec.data_centres + 1}"

    # Starting

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.spec.directory / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": f"{REPOSITORY}/src:{REPOSITORY}"}
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            cwd=REPOSITORY,
            env=environment,
        )
        log.close()

    def start_standin(self, name: str, module: str, options: dict[str, Any]) -> None:
        """Start one stand-in."""
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--port", str(self.port(name)), "--options", json.dumps(options)]
        self._spawn(name, command)

    def list_vms(self) -> list[dict[str, Any]]:
        """Return the VM list of the daemons."""
        return [
            {
                "vm": f"vm-{number}",
                "host": HOST,
                "port": self.daemon_ports(number)["peers"],
                "data_centre": self.data_centre(number),
                "leaving": False,
                "is_daemon": True,
            }
            for number in range(self.spec.daemons)
        ]

    def write_daemon_settings(self, number: int) -> Path:
        """Write a daemon's settings file; return its path."""
        ports = self.daemon_ports(number)
        settings: dict[str, Any] = {
            "vm": f"vm-{number}",
            "data_centre": self.data_centre(number),
            "platform": {
                "object_api": self.url("objects"),
                "vm_list": self.url("vms"),
                "vm_list_period": 1.0,
            },
            **{side: {"host": HOST, "port": port} for side, port in ports.items()},
            **self.spec.daemon_settings,
        }
        path = self.spec.directory / f"vm-{number}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return path

    def start_daemon(self, number: int) -> None:
        """Start one daemon."""
        path = self.write_daemon_settings(number)
        command = [sys.executable, "-m", "kestreltally.daemon", "--settings", str(path)]
        self._spawn(f"vm-{number}", command)

    def write_operator_settings(self) -> Path:
        """Write the command line's settings; return their path."""
        path = self.spec.directory / "kestreltally.yaml"
        plain = {
            "object_api": self.url("objects"),
            "daemons": [self.operators_url(n) for n in range(self.spec.daemons)],
        }
        path.write_text(yaml.safe_dump(plain), encoding="utf-8")
        return path

    def start_standins(self) -> None:
        """Start all stand-ins."""
        spec = self.spec
        self.start_standin("objects", "objects", spec.objects_options)
        self.start_standin("vms", "vms", {"vms": self.list_vms(), "lag": 0.5})
        self.start_standin("weights", "weights", spec.weights_options)
        for number in range(spec.engines):
            options = {
                "seed": number,
                "weights": self.url("weights"),
                **spec.engine_options,
            }
            self.start_standin(f"engine-{number}", "engine", options)
        for number in range(spec.services):
            self.start_standin(f"service-{number}", "service", {"name": f"s{number}"})

    async def start(self) -> None:
        """Start all processes and wait until they answer."""
        self.start_standins()
        async with ClientSession(timeout=ClientTimeout(total=1)) as http:
            await wait_for_answer(http, f"{self.url('objects')}/calls")
            for number in range(self.spec.engines):
                await wait_for_answer(http, f"{self.url(f'engine-{number}')}/counts")
            for number in range(self.spec.daemons):
                self.start_daemon(number)
            for number in range(self.spec.daemons):
                await wait_for_answer(http, f"{self.operators_url(number)}/live")
        self.write_operator_settings()

    # Ending

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and reap it."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    async def stop_planned(self, name: str) -> int:
        """Stop a process with SIGTERM; return its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.to_thread(process.wait, STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    async def stop(self) -> dict[str, int]:
        """Stop all daemons as planned, then the stand-ins; return exit statuses."""
        daemons = [name for name in self.processes if name.startswith("vm-")]
        statuses = await asyncio.gather(*(self.stop_planned(name) for name in daemons))
        for name in list(self.processes):
            self.kill(name)
        return dict(zip(daemons, statuses, strict=True))

    def kill_all(self) -> None:
        """Kill all processes."""
        for name in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                self.kill(name)


async def wait_for_answer(http: ClientSession, url: str, status: int = 200) -> None:
    """Wait until a URL answers with a status; raises ``TimeoutError``."""
    async with asyncio.timeout(START_TIMEOUT):
        while True:
            try:
                async with http.get(url) as response:
                    if response.status == status:
                        return
            except (ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_INTERVAL)


async def set_faults(http: ClientSession, url: str, **faults: Any) -> None:
    """Set faults of a stand-in."""
    async with http.post(f"{url}/faults", json=faults) as response:
        response.raise_for_status()


def conclude_demo(directory: Path, *, passed: bool) -> NoReturn:
    """Print the result, after a failure with the ends of the logs, and exit."""
    if not passed:
        for log in sorted(directory.glob("*.log")):
            click.echo(f"--- {log.name}\n{log.read_text()[-LOG_TAIL:]}")
    click.echo(f"demo: {'all checks passed' if passed else 'some checks FAILED'}")
    sys.exit(0 if passed else 1)
