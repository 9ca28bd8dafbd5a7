"""No crowd of clients that don't behave ends or hangs a daemon, or takes its machine.

A daemon holds bytes for its clients: unfinished heads and bodies, whole requests that
run or wait, answers that nobody reads. Clients who are not controlled may make it hold
as many as they like, on as many connections as they like. The tests guard against a
process that runs out of memory or descriptors for it, spends all its time on it, or
serves nobody else.

The bounds are the limits in the settings: what the process holds together with what the
sockets of its callers hold unread stays within the memory of its VM, and its sockets
leave the descriptors that are kept for files.
"""

from pathlib import Path

import pytest

from bench.faultsoak.crowd import BODY_BYTES, CROWDS, Kind
from bench.faultsoak.system import VmLimits
from tests.crowds.rig import attack, run_rig

USUAL = VmLimits(memory_mb=160.0, descriptors=600)
# As many bytes for each descriptor, beyond what an idle process takes, as the smaller
# VMs of deployments have.
SMALL = VmLimits(memory_mb=90.0, descriptors=600)
# What a small VM must bear too: crowds that hold most on each connection.
HEAVIEST = (
    "bodies short of their length",
    "chunked bodies without an end",
    "chunks of one byte without an end",
    "whole bodies, three on each connection",
    "streams with bodies of 30 KB sent ahead",
    "heads over the limit, without an end",
)


async def bear_crowd(directory: Path, name: str, limits: VmLimits) -> None:
    """Have a crowd come and stay; serve an ordinary request then, and afterwards."""
    async with run_rig(directory, limits) as rig:
        async with attack(name, rig.daemon.port):
            meanwhile = await rig.ask()
        afterwards = await rig.ask()
        print(
            f"meanwhile: {meanwhile or 'served'}; afterwards: {afterwards or 'served'}"
        )
        rig.taken.check(limits)
        assert rig.is_alive
        assert (meanwhile, afterwards) == ("", "")


def list_crowds(kind: Kind) -> list[str]:
    return [name for name, crowd in CROWDS.items() if crowd.kind is kind]


# Guards against bodies that are held before and while they are read, in copies, as
# thousands of small pieces, or one behind the other on a connection.
@pytest.mark.parametrize("name", list_crowds(Kind.BODIES))
async def test_no_bodies_take_the_memory_of_a_vm(name: str, tmp_path: Path) -> None:
    await bear_crowd(tmp_path, name, USUAL)


# Guards against requests that wait in the queue of their connection.
@pytest.mark.parametrize("name", list_crowds(Kind.SENT_AHEAD))
async def test_no_requests_sent_ahead_take_the_memory_of_a_vm(
    name: str, tmp_path: Path
) -> None:
    await bear_crowd(tmp_path, name, USUAL)


# Guards against heads whose fields are bounded one by one, but not together.
@pytest.mark.parametrize("name", list_crowds(Kind.HEADS))
async def test_no_heads_take_the_memory_of_a_vm(name: str, tmp_path: Path) -> None:
    await bear_crowd(tmp_path, name, USUAL)


# Guards against connections that ask for nothing and leave none to others.
@pytest.mark.parametrize("name", list_crowds(Kind.CONNECTIONS))
async def test_no_connections_take_the_descriptors_of_a_vm(
    name: str, tmp_path: Path
) -> None:
    await bear_crowd(tmp_path, name, USUAL)


# Guards against the same at the ports for checks, operators and other daemons.
@pytest.mark.parametrize("name", list_crowds(Kind.OTHER_PORTS))
async def test_no_crowd_at_another_port_takes_a_vm(name: str, tmp_path: Path) -> None:
    await bear_crowd(tmp_path, name, USUAL)


@pytest.mark.parametrize("name", HEAVIEST)
async def test_no_crowd_takes_the_memory_of_a_small_vm(
    name: str, tmp_path: Path
) -> None:
    await bear_crowd(tmp_path, name, SMALL)


# Guards against limits that refuse what a client inside the pages' limits may send.
@pytest.mark.parametrize("limits", [USUAL, SMALL], ids=["usual", "small"])
async def test_a_single_largest_body_is_served_in_calm(
    limits: VmLimits, tmp_path: Path
) -> None:
    async with run_rig(tmp_path, limits) as rig:
        body = b"x" * BODY_BYTES
        assert await rig.ask(body) == ""
        assert await rig.ask(body, chunked=True) == ""
        rig.taken.check(limits)
