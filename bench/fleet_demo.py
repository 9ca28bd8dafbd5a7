"""Demo on the users' platform, as separate processes on loopback.

Runs stand-ins for the store and endpoints, and three daemons in two data centres. It
checks answers, kills a leader, changes the configuration, has the log lines explain one
request, and stops the daemons as planned. Exits with 0 only if all checks passed.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import ClientSession, ClientTimeout

from bench.cluster import (
    HOST,
    REPOSITORY,
    Cluster,
    ClusterSpec,
    conclude_demo,
    wait_for_answer,
)

MODEL: Final = "base"
DATA_CENTRES: Final = ("north", "south")
HOST_NAME: Final = "shop.example"
SETTLE_TIME: Final = 1.5
READY_TIMEOUT: Final = 10.0

CONFIGURATION: Final[dict[str, Any]] = {
    "Services": [
        {"Name": "plain", "HealthPath": "/health", "ConnectionCap": 50},
        {
            "Name": "models",
            "HealthPath": "/health",
            "ConnectionCap": 50,
            "Engine": {
                "Slots": 8,
                "WeightsMb": 100.0,
                "AdapterSlots": 4,
                "LoadsPerS": 9.3,
                "Models": [
                    {"Name": MODEL, "WeightsMb": 90.0, "LoadS": 0.5, "Adapters": 100}
                ],
            },
        },
    ],
    "Limits": {
        "HeaderBytes": 16384,
        "BodyBytes": 65536,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}
BOUNDS: Final = {
    "DrainMs": 2000,
    "GraceS": 8,
    "ConfigurationMs": 2000,
    "LeaseMs": 3000,
    "version_ms": 5000,
    "CeilingWindowS": 5,
    "CeilingOverage": 1.1,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 52,
}


def make_route(prefix: str, service: str, kind: str) -> dict[str, Any]:
    """Return a route as operators write it."""
    return {
        "Name": prefix,
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 5000,
        "ObjectiveMs": 1000,
        "Attempts": 2,
        "Resumable": kind == "streaming",
    }


def make_settings(
    vm: str,
    zone: str,
    port: int,
    store_port: int,
    bounds: Mapping[str, Any] = BOUNDS,
) -> dict[str, Any]:
    """Return a daemon's settings as the platform writes them; ports count up."""
    return {
        "NodeName": vm,
        "IpAddress": HOST,
        "Zone": zone,
        "Zones": dict.fromkeys(DATA_CENTRES, "region"),
        "Listen": {"Front": f"{HOST}:{port}", "Ready": f"{HOST}:{port + 1}"},
        "InternalPorts": [port + 2, port + 5],
        "Platform": {"Address": f"{HOST}:{store_port}"},
        "Limits": {"CpuShare": 1.0, "Cores": 1, "LinkMbps": 1000.0},
        "Bounds": bounds,
    }


def read_events(text: str) -> list[dict[str, Any]]:
    """Return the data of the events of a streamed answer."""
    lines = [line for line in text.splitlines() if line.startswith("data:")]
    return [json.loads(line.removeprefix("data:")) for line in lines]


class FleetCluster(Cluster):
    """The processes of the demo on the platform."""

    def __init__(self, spec: ClusterSpec) -> None:
        super().__init__(spec)
        self.endpoints = {
            f"{service}-{at}": (service, zone)
            for at, zone in enumerate(DATA_CENTRES)
            for service in ("models", "plain")
        }
        self.vms = {"vm-0": "north", "vm-1": "north", "vm-2": "south"}

    def port(self, name: str) -> int:
        """Return the port of a stand-in, or the first of a daemon's ports."""
        base = self.spec.base_port
        if name == "store":
            return base
        if name in self.vms:
            return base + 100 + 10 * list(self.vms).index(name)
        return base + 1 + list(self.endpoints).index(name)

    async def start(self) -> None:
        """Start all processes and wait until they answer."""
        self.start_standin("store", "platform_store", {})
        async with ClientSession(timeout=ClientTimeout(total=1)) as http:
            await wait_for_answer(http, f"{self.url('store')}/faults")
            await self.put_configuration(http, 1, "/ledger/")
            for name, (service, zone) in self.endpoints.items():
                options = {
                    "store": self.url("store"),
                    "service": service,
                    "address": f"{HOST}:{self.port(name)}",
                    "zone": zone,
                    "model": MODEL if service == "models" else "",
                }
                self.start_standin(name, "platform_engine", options)
            for vm in self.vms:
                self.start_fleet_daemon(vm)
            for vm in self.vms:
                await wait_for_answer(http, f"http://{HOST}:{self.port(vm) + 1}/ready")
        await asyncio.sleep(SETTLE_TIME)

    def start_fleet_daemon(self, vm: str) -> None:
        """Start one daemon with the settings that the platform would write."""
        port = self.port(vm)
        settings = make_settings(vm, self.vms[vm], port, self.port("store"))
        path = self.spec.directory / f"{vm}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        os.environ["KESTRELTALLY_CONFIG"] = str(path)
        self._spawn(vm, [sys.executable, "src/kestreltally_fleet.py"])

    async def put_configuration(
        self, http: ClientSession, version: int, prefix: str
    ) -> None:
        """Write a configuration as operators do."""
        routes = [
            make_route(prefix, "plain", "unsafe"),
            make_route("/models/", "models", "streaming"),
        ]
        content = {**CONFIGURATION, "Version": version, "Routes": routes}
        body = {"Metadata": {"Name": "main"}, "Specification": content}
        url = f"{self.url('store')}/objects/config"
        method, target = ("POST", url) if version == 1 else ("PUT", f"{url}/main")
        async with http.request(method, target, json=body) as response:
            response.raise_for_status()


class FleetDemo:
    """The steps of the demo, with a count of failed checks."""

    def __init__(self, cluster: FleetCluster, http: ClientSession) -> None:
        self._cluster = cluster
        self._http = http
        self._sent_count = 0
        self.failures = 0

    def check(self, passed: bool, description: str) -> None:
        """Print and count the result of one check."""
        self.failures += not passed
        click.echo(f"{'passed' if passed else 'FAILED'}: {description}")

    async def send(self, vm: str, path: str, adapter: str = "") -> tuple[int, str]:
        """Send a request to a daemon; return status and body."""
        self._sent_count += 1
        headers = {"Host": HOST_NAME, "X-Request-Id": f"demo-{self._sent_count}"}
        if adapter:
            headers["X-Model-Name"] = f"{MODEL}/{adapter}"
        url = f"http://{HOST}:{self._cluster.port(vm)}{path}"
        async with self._http.post(url, headers=headers, data=b"x") as response:
            return response.status, await response.text()

    async def check_adapter(self, vm: str, adapter: str, description: str) -> None:
        """Check that a request gets a complete answer from its adapter."""
        status, text = await self.send(vm, "/models/ask", adapter)
        events = read_events(text)
        ran = {event["ran"] for event in events}
        passed = status == 200 and len(events) == 5 and ran == {f"{adapter}@1"}
        self.check(passed, f"{description}: {status}, {len(events)} events by {ran}")

    async def run(self) -> None:
        """Run all steps."""
        status, text = await self.send("vm-0", "/ledger/post?x=1")
        self.check((status, text) == (200, "POST /ledger/post?x=1 1"), f"plain: {text}")
        for number in range(6):
            vm = f"vm-{number % 3}"
            await self.check_adapter(vm, f"a{number}", f"adapter a{number} by {vm}")
        leader = self.find_leader("north")
        self._cluster.kill(leader)
        remaining = "vm-1" if leader == "vm-0" else "vm-0"
        await self.check_adapter(
            remaining, "a9", f"a new adapter after {leader} was killed"
        )
        await self._cluster.put_configuration(self._http, 5, "/moved/")
        await asyncio.sleep(SETTLE_TIME)
        status, _ = await self.send(remaining, "/moved/x")
        removed_status, _ = await self.send("vm-2", "/ledger/x")
        self.check(
            (status, removed_status) == (200, 404), "a new configuration is in force"
        )
        self.explain(f"demo-{self._sent_count - 2}")

    def find_leader(self, data_centre: str) -> str:
        """Return the daemon that leads a data centre, from the log lines."""
        for vm in self._cluster.vms:
            for text in self.read_log(vm):
                line = json.loads(text)
                is_held = line.get("event") == "lease: held"
                if is_held and line.get("lease") == data_centre:
                    return vm
        raise TimeoutError(f"no daemon leads {data_centre}")

    def read_log(self, vm: str) -> list[str]:
        """Return a daemon's log lines so far."""
        path = self._cluster.spec.directory / f"{vm}.log"
        return path.read_text(encoding="utf-8").splitlines()

    def explain(self, request: str) -> None:
        """Run the command that explains a request from the logs."""
        logs = [self._cluster.spec.directory / f"{vm}.log" for vm in self._cluster.vms]
        command = [sys.executable, "-m", "kestreltally.cli.main", "logs", "explain"]
        done = subprocess.run(
            [*command, request, *map(str, logs)],
            capture_output=True,
            text=True,
            check=False,
            cwd=REPOSITORY,
        )
        click.echo(done.stdout + done.stderr, nl=False)
        self.check(done.returncode == 0, f"the log lines explain {request}")


async def _demonstrate(directory: Path, base_port: int) -> bool:
    cluster = FleetCluster(ClusterSpec(directory=directory, base_port=base_port))
    try:
        await cluster.start()
        async with ClientSession(timeout=ClientTimeout(total=READY_TIMEOUT)) as http:
            demo = FleetDemo(cluster, http)
            await demo.run()
        statuses = await cluster.stop()
        demo.check(set(statuses.values()) == {0}, f"planned stops: {statuses}")
        return demo.failures == 0
    finally:
        cluster.kill_all()


@click.command()
@click.option("--base-port", default=21_000)
def main(base_port: int) -> None:
    """Run the demo on the platform."""
    with tempfile.TemporaryDirectory() as directory:
        try:
            passed = asyncio.run(_demonstrate(Path(directory), base_port))
        except TimeoutError as error:
            click.echo(f"FAILED: {error!r}")
            passed = False
        conclude_demo(Path(directory), passed=passed)


if __name__ == "__main__":
    main()
