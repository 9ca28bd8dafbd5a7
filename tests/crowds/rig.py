"""A daemon as a true process beside a crowd, and what the daemon takes meanwhile."""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from bench.cluster import REPOSITORY, wait_for_answer
from bench.faultsoak.crowd import BODY_BYTES
from bench.faultsoak.proxy import HOST
from bench.faultsoak.system import Daemon, SoakSystem, VmLimits
from bench.fleet_demo import HOST_NAME
from tests.ports import claim_ports

MEGABYTE: Final = 10**6
PAGE: Final = 4_096
# How many ports a daemon has.
PORTS: Final = 6
# Descriptors of which the platform keeps so many for files; sockets share the others.
FILE_DESCRIPTORS: Final = 200
SAMPLE_INTERVAL: Final = 0.02
SETTLE_TIME: Final = 1.5
# How long the crowd may send before it is no longer waited for.
CROWD_TIME: Final = 12.0
# How long a client comes back. A process that answers later hangs.
PATIENCE: Final = 60.0
TRY_TIMEOUT: Final = 5.0
RETRY_DELAY: Final = 0.2
OK: Final = 200


@dataclass
class Taken:
    """The most that a process took: bytes, of them unread in sockets, and sockets."""

    bytes: int = 0
    unread: int = 0
    sockets: int = 0
    now: int = 0

    def sample(self, pid: int, ports: range) -> None:
        """Measure a process as it is now, while it lives."""
        proc = Path(f"/proc/{pid}")
        with suppress(OSError, IndexError):
            resident = int((proc / "statm").read_text().split()[1]) * PAGE
            unread = count_unread(ports)
            self.now = resident + unread
            if self.now > self.bytes:
                self.bytes, self.unread = self.now, unread
            self.sockets = max(self.sockets, count_sockets(proc))

    async def keep_sampling(self, pid: int, ports: range) -> None:
        """Measure until cancelled."""
        while True:
            self.sample(pid, ports)
            await asyncio.sleep(SAMPLE_INTERVAL)

    def check(self, limits: VmLimits) -> None:
        """Fail if a limit of the VM was exceeded."""
        figures = (
            f"peak {self.bytes / MEGABYTE:.0f} MB, of them "
            f"{self.unread / MEGABYTE:.0f} unread; {self.sockets} sockets"
        )
        print(figures)
        assert self.bytes <= limits.memory_mb * MEGABYTE, figures
        assert self.sockets <= limits.descriptors - FILE_DESCRIPTORS, figures


def count_sockets(proc: Path) -> int:
    """Return the number of a process's sockets."""
    number = 0
    for each in (proc / "fd").iterdir():
        with suppress(OSError):
            number += str(each.readlink()).startswith("socket:")
    return number


def count_unread(ports: range) -> int:
    """Return the bytes that sockets at some ports have received and hold."""
    unread = 0
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in lines:
        _, local, _, state, queues, *_ = line.split()
        port = int(local.rpartition(":")[2], 16)
        # The receive queue of a listener counts connections.
        if port in ports and state != "0A":
            unread += int(queues.partition(":")[2], 16)
    return unread


@dataclass
class Rig:
    """A running daemon, and what it has taken so far."""

    system: SoakSystem
    taken: Taken = field(default_factory=Taken)
    ids: int = 0

    @property
    def daemon(self) -> Daemon:
        """Return the only daemon."""
        return self.system.daemons[0]

    @property
    def is_alive(self) -> bool:
        """Return whether the process that was started first still runs."""
        process = self.daemon.process
        return process is not None and process.poll() is None

    async def ask(self, body: bytes = b"x", *, chunked: bool = False) -> str:
        """Send one ordinary request, coming back as clients do; return "" if served.

        Otherwise what was seen.
        """
        seen: list[str] = []
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + PATIENCE
        while loop.time() < ends_at and self.is_alive:
            self.ids += 1
            status = await self._ask_once(f"ordinary{self.ids}", body, chunked)
            if status == str(OK):
                return ""
            seen.append(status)
            await asyncio.sleep(RETRY_DELAY)
        return f"not served: {seen}" if self.is_alive else "the process has ended"

    async def _ask_once(self, request_id: str, body: bytes, chunked: bool) -> str:
        headers = {"Host": HOST_NAME, "X-Request-Id": request_id}
        timeout = ClientTimeout(total=TRY_TIMEOUT)
        data = _cut(body) if chunked else body
        try:
            async with (
                ClientSession(timeout=timeout) as http,
                http.post(
                    f"{self.daemon.url}/plain/x", headers=headers, data=data
                ) as answer,
            ):
                await answer.read()
                return str(answer.status)
        except (ClientError, OSError, TimeoutError) as error:
            return type(error).__name__


@asynccontextmanager
async def attack(name: str, base_port: int) -> AsyncIterator[None]:
    """Have a crowd send until the daemon takes no more; it stays until the end."""
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.faultsoak.crowd",
        name,
        "--base-port",
        str(base_port),
        "--seconds",
        str(2 * PATIENCE),
        stdout=asyncio.subprocess.PIPE,
        cwd=REPOSITORY,
    )
    assert crowd.stdout is not None
    try:
        with suppress(TimeoutError):
            async with asyncio.timeout(CROWD_TIME):
                line = await crowd.stdout.readline()
            assert line == b"quiet\n", line
        yield
    finally:
        crowd.kill()
        await crowd.wait()


async def _cut(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), PAGE):
        yield body[start : start + PAGE]


@asynccontextmanager
async def run_rig(directory: Path, limits: VmLimits) -> AsyncIterator[Rig]:
    """Run a daemon with the limits of its VM until the end."""
    system = SoakSystem(
        directory,
        claim_ports(),
        checks_keys=False,
        vm_limits=limits,
        client_limits={"BodyBytes": BODY_BYTES},
    )
    sampling: asyncio.Task[None] | None = None
    try:
        await system.start(1)
        async with ClientSession() as http:
            port = system.daemons[0].port + 1
            await wait_for_answer(http, f"http://{HOST}:{port}/ready")
        await asyncio.sleep(SETTLE_TIME)
        rig = Rig(system)
        process = rig.daemon.process
        assert process is not None
        ports = range(rig.daemon.port, rig.daemon.port + PORTS)
        sampling = asyncio.create_task(rig.taken.keep_sampling(process.pid, ports))
        yield rig
    finally:
        if sampling is not None:
            sampling.cancel()
        await system.close()
