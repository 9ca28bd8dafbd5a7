"""Mutation tests of the fault soak: run daemons that each lack one mechanism.

Each mutation changes one place in a copy of the program. A plan of the faults that the
mechanism protects against must then give a violation.
"""

import asyncio
import logging
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import click

from bench.cluster import REPOSITORY
from bench.faultsoak.plan import Action, Step
from bench.faultsoak.proxy import ProxyMode
from bench.faultsoak.run import run_plan
from bench.faultsoak.system import SoakSystem

DAEMONS: Final = 4
SECONDS: Final = 18


@dataclass(frozen=True)
class Mutation:
    """A removed mechanism: its source text ``before`` and the replacement ``after``.

    ``action`` is the fault that must reveal it, injected every ``every`` seconds into
    one target after the other for ``duration`` seconds. If ``revoke_after`` is given, a
    key is revoked so many seconds after each start of the fault. ``checks_keys`` says
    whether the deployment has keys.
    """

    name: str
    module: str
    before: str
    after: str
    action: Action
    mode: ProxyMode = ProxyMode.RESET
    every: float = 0.7
    duration: float = 0.4
    revoke_after: float | None = None
    checks_keys: bool = True

    def make_plan(self) -> list[Step]:
        """Return the steps that must reveal the mutation."""
        count = int(SECONDS / self.every)
        begins = [1.0 + number * self.every for number in range(count)]
        steps = [
            Step(at, self.duration, self.action, number, self.mode)
            for number, at in enumerate(begins)
        ]
        if self.revoke_after is not None:
            steps.extend(
                Step(at + self.revoke_after, 0.0, Action.REVOKE, 0, self.mode)
                for at in begins
            )
        return sorted(steps, key=lambda each: each.at)

    def write_source(self, directory: Path) -> Path:
        """Write the mutated program into a directory; return its source folder."""
        source = directory / "src"
        shutil.copytree(REPOSITORY / "src", source)
        path = source / "kestreltally" / self.module
        text = path.read_text(encoding="utf-8")
        if text.count(self.before) != 1:
            raise ValueError(
                f"{self.name}: {self.module} must contain the text exactly once"
            )
        path.write_text(text.replace(self.before, self.after), encoding="utf-8")
        return source


MUTATIONS: Final = (
    Mutation(
        name="false report that a request has not run",
        module="entry/sends.py",
        before="        self._sends.append(send)\n",
        after="",
        action=Action.ENDPOINT_PATH,
        mode=ProxyMode.CUT_FROM_TARGET,
    ),
    Mutation(
        name="unsafe request sent twice",
        module="entry/relay.py",
        before="return request.route.repeatable and progress.runs < request.route.",
        after="return True or request.route.",
        action=Action.ENDPOINT_PATH,
        mode=ProxyMode.CUT_FROM_TARGET,
    ),
    Mutation(
        name="planned stop that does not wait for requests",
        module="fleet_daemon.py",
        before="        while self._clock() < last:\n",
        after="        while False:\n",
        action=Action.PLANNED_STOP,
        every=5.0,
    ),
    Mutation(
        name="former lease not waited out",
        module="placing/lease.py",
        before="        return last + MAX_ORDER_TRANSIT + self._holder_gap\n",
        after="        return now\n",
        action=Action.STORE_PATH,
        mode=ProxyMode.SILENT,
        every=8.0,
        duration=7.0,
    ),
    Mutation(
        name="fence numbers that do not rise",
        module="placing/lease.py",
        before="self._next_fence(known), quiet=",
        after="known, quiet=",
        action=Action.STORE_PATH,
        mode=ProxyMode.SILENT,
        every=8.0,
        duration=7.0,
    ),
    Mutation(
        name="leaving endpoints still used",
        module="platform/documents.py",
        before='leaving=_STATES[read_text(entry["State"])]',
        after="leaving=False",
        action=Action.ENGINE_LEAVES,
        every=6.0,
    ),
    Mutation(
        name="leaving notice in answers ignored",
        module="fleet/notices.py",
        before="        row.leaves = True\n        log_decision",
        after="        log_decision",
        action=Action.LEAVING_NOTICE,
        every=6.0,
    ),
    Mutation(
        name="backoff that an endpoint asks for ignored",
        module="fleet/notices.py",
        before="        row.start_recovery(now + rest)\n",
        after="",
        action=Action.BACKOFF_NOTICE,
        every=6.0,
        duration=4.0,
    ),
    Mutation(
        name="rate limit applied by each daemon alone",
        module="fleet/rate_limits.py",
        before="        if issuer.known or daemons is None or daemons > MAX_ISOLATED + "
        "self.rate:\n            return 0.0\n"
        "        return ISOLATED_FRACTION * self.rate / max(1, daemons)\n",
        after="        return self.rate\n",
        action=Action.RATE_LIMIT_NOTICE,
        every=8.5,
        duration=8.0,
    ),
    Mutation(
        name="occupied adapter places not counted",
        module="placing/enginestate.py",
        before="        return max(0, spec.adapter_places - self.count_occupied())\n",
        after="        return spec.adapter_places\n",
        action=Action.RELOAD,
    ),
    Mutation(
        name="new configurations in the store ignored",
        module="fleet/tables.py",
        before="current is not None and configuration.version <= current.version",
        after="current is not None",
        action=Action.CONFIGURE,
        every=6.0,
    ),
    Mutation(
        name="age of the configuration not checked for keys",
        module="knowledge/authority.py",
        before="self.bound is None or self.compute_age() < self.bound - DRIFT_MARGIN",
        after="True",
        action=Action.PAUSE,
        every=9.0,
        duration=7.0,
        revoke_after=0.3,
    ),
    Mutation(
        name="quota applied by each daemon alone",
        module="quotas/ledger.py",
        before="        ratio = 1.0 if free or asked <= allowed else",
        after="        ratio = 1.0 if True else",
        action=Action.RELOAD,
    ),
    Mutation(
        name="endpoint crashes not shared between daemons",
        module="knowledge/poison_exchange.py",
        before="        if self._poison.register.record_reported(facts) "
        "and self._leaders.leads:\n",
        after="        if False:\n",
        action=Action.POISON,
        every=16.0,
        duration=16.0,
    ),
    Mutation(
        name="poison request not stopped",
        module="poison/register.py",
        before="settled=True) if wait > 0 else None\n",
        after="settled=True) if False else None\n",
        action=Action.POISON,
        every=16.0,
        duration=16.0,
    ),
    Mutation(
        name="silence of the store never noticed",
        module="platform/store.py",
        before="ClientTimeout(total=timeout, sock_connect=CALL_TIMEOUT)",
        after="ClientTimeout(total=60.0, sock_connect=CALL_TIMEOUT)",
        action=Action.STORE_CHANNELS_SILENT,
        every=9.0,
        checks_keys=False,
    ),
    Mutation(
        name="entries that go without a word ignored",
        module="knowledge/fleet_rows.py",
        before="        if not self.removals.is_overridden(as_of):\n",
        after="        if False:\n",
        action=Action.ENGINE_GOES,
        every=2.0,
    ),
    Mutation(
        name="age of the leaders' list of endpoints not checked",
        module="knowledge/endpoints_age.py",
        before="self._clock() - self.reported_as_of < self._max_proof_age",
        after="True",
        action=Action.LEADER_SILENT,
        duration=5.0,
    ),
    Mutation(
        name="end of an engine taken for the end of its answer",
        module="entry/end_check.py",
        before="        if verdict is EndVerdict.TRUNCATED:\n",
        after="        if False:\n",
        action=Action.ENGINE_CRASH,
        every=1.0,
    ),
    Mutation(
        name="requests not passed on by daemons that are cut off",
        module="forwarding/rerouting.py",
        before="        if request.forwarded or self.forwarder is None:\n",
        after="        if True:\n",
        action=Action.CUT_OFF,
        every=9.0,
        duration=7.0,
    ),
    Mutation(
        name="software version not kept within an answer",
        module="entry/delivery.py",
        before="progress.origin = self.begin_stream(",
        after="self.begin_stream(",
        action=Action.ENGINE_CRASH,
        every=0.25,
        duration=0.2,
    ),
    Mutation(
        name="software version not asked for when a stream is taken up",
        module="entry/relay.py",
        before="        if progress.origin is None and request.takes_up_stream:\n",
        after="        if False:\n",
        action=Action.KILL,
        every=3.0,
    ),
    Mutation(
        name="requests sent to brittle engines without slots",
        module="entry/slot_gate.py",
        before="        return self._fleet.find_brittleness(endpoint) is not None\n",
        after="        return False\n",
        action=Action.BRITTLE_NOTICE,
        every=9.0,
        duration=9.0,
    ),
    Mutation(
        name="parts of prompts not blamed",
        module="poison/part_register.py",
        before="        for digest in digests:\n            suspect = self",
        after="        for digest in ():\n            suspect = self",
        action=Action.DEADLY_PART,
        every=16.0,
        duration=16.0,
    ),
    Mutation(
        name="requests that wait at an outdated engine not taken back",
        module="entry/recall.py",
        before="        waiting.timeout.reschedule(now)\n",
        after="",
        action=Action.VERSION_WAITS,
        every=9.0,
        duration=7.0,
    ),
    Mutation(
        name="status of an endpoint taken for a promise",
        module="entry/delivery.py",
        before="        if answer.status in PROMISE_STATUSES:\n",
        after="        if False:\n",
        action=Action.ODD_ANSWERS,
        every=3.0,
        duration=2.5,
    ),
    Mutation(
        name="rejection taken for the answer to a later send",
        module="entry/channel.py",
        before="        return hash(request_id) in self._sent\n",
        after="        return False\n",
        action=Action.ODD_ANSWERS,
        every=3.0,
        duration=2.5,
    ),
    Mutation(
        name="silence of an endpoint taken for its failure",
        module="entry/hedging.py",
        before="            self.stalls.log(run)\n            self.cast_doubt()\n",
        after="            awaiting.cancel()\n"
        "            raise AttemptFailed(Verdict.SILENT.value, may_have_run=True)\n",
        action=Action.ENDPOINTS_SILENT,
        every=2.0,
        duration=1.2,
    ),
    Mutation(
        name="client's key forwarded to the endpoint",
        module="platform/headers.py",
        before="        _KEY.lower(),\n",
        after="",
        action=Action.RELOAD,
    ),
)


async def play(mutation: Mutation, base_port: int) -> str:
    """Run a mutation's plan; return the first problem, empty if it survived."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        source = mutation.write_source(directory)
        system = SoakSystem(
            directory, base_port, source, checks_keys=mutation.checks_keys
        )
        checker = await run_plan(system, mutation.make_plan(), DAEMONS)
    return checker.problems[0] if checker.problems else ""


@click.command()
@click.option("--base-port", default=26_000)
@click.option("--only", default="", help="Run only mutations whose name contains this.")
def main(base_port: int, only: str) -> None:
    """Print a table of mutations; exit 0 only if none survived."""
    logging.disable(logging.ERROR)
    survivors = 0
    click.echo("| removed mechanism | first problem |\n| --- | --- |")
    for mutation in MUTATIONS:
        if only in mutation.name:
            problem = asyncio.run(play(mutation, base_port))
            survivors += not problem
            click.echo(f"| {mutation.name} | {problem or 'SURVIVED'} |")
    click.echo(f"survivors: {survivors}")
    sys.exit(1 if survivors else 0)


if __name__ == "__main__":
    main()
