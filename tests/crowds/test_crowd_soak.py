"""A short soak with clients that don't behave: no promise to the others is broken.

Guards against bounds on what clients make a daemon hold that cost others their answers,
or make one of them look whole, run twice or be refused after it ran.
"""

from pathlib import Path

from bench.faultsoak.plan import Action, Step
from bench.faultsoak.proxy import ProxyMode
from bench.faultsoak.run import run_plan
from bench.faultsoak.system import SoakSystem
from tests.ports import claim_ports

DAEMONS = 3
# Bodies and heads without an end, chunks of a byte, silent connections.
TARGETS = (0, 2, 6, 8)


async def test_no_promise_is_broken_beside_a_crowd(tmp_path: Path) -> None:
    plan = [
        Step(0.5 + 3.0 * number, 2.5, Action.CROWD, target, ProxyMode.PASS)
        for number, target in enumerate(TARGETS)
    ]
    checker = await run_plan(SoakSystem(tmp_path, claim_ports()), plan, DAEMONS)
    assert checker.problems == []
    assert sum(record.status == 200 for record in checker.records) > 50
