"""No crowd takes the VM of a daemon with its own interface (``kestreltallyd``).

As test_crowds.py, for the servers of callers and operators of that daemon.
"""

import asyncio
import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.cluster import Cluster, ClusterSpec
from bench.demo import HEADERS, Demo
from bench.faultsoak.system import VmLimits
from tests.crowds.rig import OK, PATIENCE, RETRY_DELAY, TRY_TIMEOUT, Taken, attack
from tests.ports import claim_ports

LIMITS = VmLimits(memory_mb=160.0, descriptors=600)
CALLERS, OPERATORS = "callers", "operators"


class OwnCluster(Cluster):
    """One daemon and its stand-ins, on ports that are close to each other."""

    def daemon_ports(self, number: int) -> dict[str, int]:
        base = self.spec.base_port + 20 + 3 * number
        return {"callers": base, "peers": base + 1, "operators": base + 2}


@asynccontextmanager
async def run_own_daemon(directory: Path) -> AsyncIterator[OwnCluster]:
    """Run a daemon whose settings name the limits of its VM."""
    named = {"memory_mb": int(LIMITS.memory_mb), "descriptors": LIMITS.descriptors}
    cluster = OwnCluster(
        ClusterSpec(
            directory,
            claim_ports(),
            daemons=1,
            engines=1,
            services=0,
            daemon_settings={"limits": named},
        )
    )
    try:
        await cluster.start()
        limit = (LIMITS.descriptors, LIMITS.descriptors)
        pid = cluster.processes["vm-0"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
        demo = Demo(cluster)
        await asyncio.to_thread(demo.create_objects)
        assert demo.all_passed
        yield cluster
    finally:
        cluster.kill_all()


async def ask(url: str) -> str:
    """Ask until served; return "" then, otherwise what was seen."""
    seen = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PATIENCE
    timeout = ClientTimeout(total=TRY_TIMEOUT)
    while loop.time() < ends_at:
        try:
            async with (
                ClientSession(timeout=timeout) as http,
                http.get(url, headers=HEADERS) as answer,
            ):
                if answer.status == OK:
                    return ""
                seen.append(str(answer.status))
        except (ClientError, OSError, TimeoutError) as error:
            seen.append(type(error).__name__)
        await asyncio.sleep(RETRY_DELAY)
    return f"not served: {seen}"


@pytest.mark.parametrize("side", [CALLERS, OPERATORS])
@pytest.mark.parametrize(
    "name",
    [
        "bodies short of their length",
        "heads over the limit, without an end",
        "silent connections",
    ],
)
async def test_no_crowd_takes_the_vm_of_a_daemon_with_its_own_interface(
    name: str, side: str, tmp_path: Path
) -> None:
    async with run_own_daemon(tmp_path) as cluster:
        ports = cluster.daemon_ports(0)
        process = cluster.processes["vm-0"]
        url = f"{cluster.callers_url(0)}/v1/models"
        assert await ask(url) == ""
        taken = Taken()
        numbers = range(min(ports.values()), max(ports.values()) + 1)
        sampling = asyncio.create_task(taken.keep_sampling(process.pid, numbers))
        async with attack(name, ports[side]):
            meanwhile = await ask(url)
        afterwards = await ask(url)
        sampling.cancel()
        taken.check(LIMITS)
        assert process.poll() is None
        assert (meanwhile, afterwards) == ("", "")
