"""Messages survive encoding and decoding; malformed ones are rejected."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.transport import TMemoryBuffer

from bench.slopes import make_test_world
from kestreltally.entities.ids import VmId
from kestreltally.orders import MessageArrived
from kestreltally.peers.codec import (
    IDL,
    MalformedEnvelope,
    read_envelope,
    write_envelope,
)
from kestreltally.peers.messages import (
    MESSAGE_TYPES,
    AskPermit,
    Envelope,
    HandOver,
    Ping,
    Rumour,
)
from kestreltally.systems.registry import run_step

st.register_type_strategy(str, st.text(max_size=12))
st.register_type_strategy(int, st.integers(0, 2**15 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False, width=32))


def send_over_wire(envelope: Envelope) -> Envelope:
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolFactory().get_protocol(buffer)
    protocol.write_struct(write_envelope(envelope))
    read: Any = IDL.Envelope()
    second_protocol = TBinaryProtocolFactory().get_protocol(
        TMemoryBuffer(buffer.getvalue())
    )
    second_protocol.read_struct(read)
    return read_envelope(read)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.one_of([st.from_type(each) for each in MESSAGE_TYPES]))
def test_message_survives_the_wire(message: Any) -> None:
    envelope = Envelope(VmId("vm-1"), 7, 1.5, (message,))
    assert send_over_wire(envelope) == envelope


@pytest.mark.parametrize(
    "written",
    [
        None,
        IDL.Envelope(),
        IDL.Envelope(sender="a", incarnation=1, messages=[IDL.Message()]),
        IDL.Envelope(
            sender="a", incarnation=1, messages=[IDL.Message(ping=IDL.Ping())]
        ),
    ],
)
def test_malformed_envelope_is_refused(written: Any) -> None:
    with pytest.raises(MalformedEnvelope):
        read_envelope(written)


OUT_OF_RANGE = [
    Ping(1, [Rumour("x", "h", 1, "d", 1, 1, state=9)], 0, 0.0),
    AskPermit("a/1", "engine-0", "a", 1, priority=9, time_left=1.0, turn=0),
    HandOver("engine-0", 1, 1, 0.0, unsure=["no version"], permits=[]),
]


@pytest.mark.parametrize("message", OUT_OF_RANGE, ids=lambda each: type(each).__name__)
def test_values_out_of_range_are_left_out(message: Any) -> None:
    world = make_test_world()
    world.inbox.append(MessageArrived(VmId("vm-9"), 1, message))
    run_step(world, world.now)
    assert not world.members.known and not world.grants.asks


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.one_of([st.from_type(e) for e in MESSAGE_TYPES]), max_size=6))
def test_no_message_of_a_peer_breaks_a_daemon(messages: list[Any]) -> None:
    world = make_test_world()
    for message in messages:
        world.inbox.append(MessageArrived(VmId("vm-9"), 1, message))
    for tick in range(3):
        run_step(world, world.now + 0.1 * tick)
