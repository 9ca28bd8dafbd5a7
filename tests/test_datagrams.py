"""Datagrams between daemons: delivered to handlers, and junk harms nothing."""

import asyncio
import socket

import pytest

from kestreltally.deployment import SocketAddress
from kestreltally.features import Features, read_features
from kestreltally.knowledge.datagrams import MAX_DATAGRAM_BYTES, DatagramPort
from kestreltally.knowledge.structs import PromptRow, TurnsAsked, TurnsGranted
from tests.ports import reserve_port


async def test_a_datagram_reaches_the_handlers_of_its_fields() -> None:
    port = reserve_port()
    receiver, sender = DatagramPort("vm-1"), DatagramPort("vm-2")
    received: asyncio.Queue[tuple[str, list[int]]] = asyncio.Queue()
    receiver.handlers["turns_granted"] = lambda message, _: received.put_nowait(
        (message.vm, message.turns_granted.numbers)
    )
    receiver.handlers["turns_asked"] = lambda *_: pytest.fail("field is not set")
    await receiver.start("127.0.0.1", port)
    await sender.start("127.0.0.1", reserve_port())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as junk:
        junk.sendto(b"\x0c\x00\x04junk", ("127.0.0.1", port))
        junk.sendto(b"", ("127.0.0.1", port))
    granted = TurnsGranted(endpoint="e1", numbers=[7], waits={})
    assert sender.send(SocketAddress("127.0.0.1", port), turns_granted=granted)
    async with asyncio.timeout(2.0):
        assert await received.get() == ("vm-2", [7])
    receiver.close()
    sender.close()


async def test_a_datagram_that_is_too_large_is_not_sent() -> None:
    sender = DatagramPort("vm-1")
    await sender.start("127.0.0.1", reserve_port())
    rows = [PromptRow(number=n, tokens=1) for n in range(MAX_DATAGRAM_BYTES)]
    asked = TurnsAsked(endpoint="e1", prompts=rows)
    assert not sender.send(SocketAddress("127.0.0.1", 9), turns_asked=asked)
    sender.close()


def test_operators_switch_features_off_by_name() -> None:
    assert read_features("") == Features()
    assert not read_features("pacing, early_loads").pacing
    with pytest.raises(ValueError, match="unknown features: speed; expected some of"):
        read_features("speed")
