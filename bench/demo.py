"""Demo of all features as separate processes; exits with 0 only if it succeeded."""

import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

import click
from aiohttp import ClientSession, ClientTimeout

from bench.cluster import (
    REPOSITORY,
    Cluster,
    ClusterSpec,
    conclude_demo,
    wait_for_answer,
)
from kestreltally.callers.identity import digest_key
from standins.text import make_answer

KEY: Final = "till-key-1"
HEADERS: Final = {"Authorization": f"Bearer {KEY}"}
TOKENS: Final = 12
MODEL: Final = "base-a"


class Demo:
    """The steps of the demo, with a count of failed checks."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._failures = 0

    def check(self, passed: bool, description: str) -> None:
        """Print and count the result of one check."""
        self._failures += not passed
        click.echo(f"{'passed' if passed else 'FAILED'}: {description}")

    @property
    def all_passed(self) -> bool:
        """Return whether every check passed."""
        return self._failures == 0

    def operate(self, *arguments: str) -> None:
        """Run the operators' command line as a separate process."""
        click.secho(f"$ kestreltally {' '.join(arguments)}", bold=True)
        settings = self._cluster.spec.directory / "kestreltally.yaml"
        command = [sys.executable, "-m", "kestreltally.cli.main", "--settings"]
        done = subprocess.run(
            [*command, str(settings), "--operator", "demo", *arguments],
            capture_output=True,
            text=True,
            check=False,
            cwd=REPOSITORY,
        )
        click.echo(done.stdout + done.stderr, nl=False)
        self.check(done.returncode == 0, "the command succeeded")

    def create_objects(self) -> None:
        """Create the configuration by the command line."""
        path = self._cluster.spec.directory / "demo.kt"
        path.write_text(write_statements(self._cluster), encoding="utf-8")
        self.operate("--wait", "5", "apply", "-f", str(path))

    async def send(
        self,
        http: ClientSession,
        number: int,
        path: str,
        body: dict[str, Any],
        **headers: str,
    ) -> tuple[int, Any]:
        """Send a request to one daemon; return status and JSON or text."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        url = self._cluster.callers_url(number) + path
        async with http.post(url, json=body, headers={**HEADERS, **named}) as response:
            text = await response.text()
            kind = response.content_type
        return response.status, json.loads(text) if kind == "application/json" else text

    async def send_ordinary(self, http: ClientSession) -> None:
        """Send one request without streaming per adapter, each to another daemon."""
        for number, adapter in enumerate(("balances", "disputes", "chapters")):
            prompt = f"explain {adapter}"
            body = {"model": adapter, "prompt": prompt, "max_tokens": TOKENS}
            status, answer = await self.send(
                http,
                number % self._cluster.spec.daemons,
                "/v1/completions",
                body,
                X_Request_Id=f"demo-{adapter}",
            )
            expected = make_answer(f"{adapter}@1", prompt, TOKENS)
            passed = status == 200 and answer["choices"][0]["text"] == expected
            self.check(passed, f"{adapter}: complete answer from the requested adapter")

    async def send_streamed(self, http: ClientSession) -> None:
        """Stream one request."""
        body = {
            "model": "balances@1",
            "messages": [{"role": "user", "content": "hello"}],
            "stream": True,
            "max_tokens": TOKENS,
        }
        status, text = await self.send(http, 1, "/v1/chat/completions", body)
        events = [line for line in text.split("\n\n") if line]
        words = "".join(
            json.loads(event[6:])["choices"][0]["delta"]["content"]
            for event in events[:-1]
        )
        passed = status == 200 and events[-1] == "data: [DONE]"
        passed = passed and words == make_answer("balances@1", "hello", TOKENS)
        self.check(passed, "balances@1: complete streamed answer with its end mark")

    async def redeem(self, http: ClientSession) -> None:
        """Send a non-repeatable request twice, to two daemons."""
        once = {"X_Request_Id": "redeem-1", "X_Not_Repeatable": "true"}
        body = {"points": 100}
        status, _ = await self.send(http, 0, "/ledger/redeem", body, **once)
        self.check(status == 200, "a redemption ran")
        status, answer = await self.send(http, 1, "/ledger/redeem", body, **once)
        refused = status == 409 and answer["error"]["type"] == "duplicate_request"
        self.check(refused, "its repeat at another daemon was refused")
        async with http.get(f"{self._cluster.url('service-0')}/counts") as response:
            runs = (await response.json())["runs"]
        self.check(runs == {"till:redeem-1": 1}, f"the ledger counts one run: {runs}")

    async def send_forbidden(self, http: ClientSession) -> None:
        """Request an adapter that no rule allows."""
        body = {"model": "secret", "prompt": "x"}
        status, answer = await self.send(http, 2, "/v1/completions", body)
        error = answer["error"]
        passed = status == 403 and error["outcome"] == "not_run"
        self.check(passed, f"a forbidden adapter is refused: {error['message']}")

    async def run(self) -> None:
        """Run the demo on a running cluster."""
        self.create_objects()
        async with ClientSession(timeout=ClientTimeout(total=20)) as http:
            for number in range(self._cluster.spec.daemons):
                url = f"{self._cluster.operators_url(number)}/ready"
                await wait_for_answer(http, url)
            await self.send_ordinary(http)
            await self.send_streamed(http)
            await self.redeem(http)
            await self.send_forbidden(http)
        self.operate("run", "show leaders order by endpoint")
        self.operate("run", "show slots order by adapter")
        self.operate("run", "show daemons")
        self.operate("run", "explain demo-balances")
        self.operate("run", "timeline where request = demo-chapters")


def write_statements(cluster: Cluster) -> str:
    """Return the statements that configure a cluster."""
    lines = [f"create model {MODEL};"]
    for number in range(cluster.spec.engines):
        lines.append(
            f"create endpoint engine-{number} with kind = engine, model = {MODEL}, "
            f"url = {cluster.url(f'engine-{number}')}, slots = 4, batch_limit = 8, "
            f"data_centre = {cluster.data_centre(number)};"
        )
    for number in range(cluster.spec.services):
        lines.append(
            f"create endpoint ledger-{number} with kind = service, prefix = /ledger, "
            f"url = {cluster.url(f'service-{number}')}, batch_limit = 64, "
            f"data_centre = {cluster.data_centre(number)};"
        )
    for adapter in ("balances", "disputes", "chapters", "secret"):
        lines.append(f"create adapter {adapter} with model = {MODEL};")
        lines.append(f"publish {adapter} version 1;")
    digest = digest_key(KEY)
    lines.append(f'create caller till with key_digests = ["{digest}"], priority = 0;')
    for target in ("balances", "disputes", "chapters", "/ledger"):
        lines.append(f"allow till to use {target};")
    return "\n".join(lines)


async def _demonstrate(directory: Path, base_port: int) -> bool:
    cluster = Cluster(ClusterSpec(directory=directory, base_port=base_port))
    try:
        await cluster.start()
        demo = Demo(cluster)
        await demo.run()
        statuses = await cluster.stop()
        demo.check(
            set(statuses.values()) == {0},
            f"all daemons stopped as planned: {statuses}",
        )
        return demo.all_passed
    finally:
        cluster.kill_all()


@click.command()
@click.option("--base-port", default=20_000)
def main(base_port: int) -> None:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as directory:
        try:
            passed = asyncio.run(_demonstrate(Path(directory), base_port))
        except TimeoutError:
            passed = False
        conclude_demo(Path(directory), passed=passed)


if __name__ == "__main__":
    main()
