"""Tests of documents of the store, of endpoint expiry, and of the leaders' feed."""

import asyncio
import re
import time
from dataclasses import replace
from typing import Any

import pytest
from thriftpy2 import load

from kestreltally.entry.occupancy import EMPTY, Occupancy
from kestreltally.fleet.model import Endpoint, EndpointId, RequestKind, WeightsKey
from kestreltally.fleet.tables import Fleet, RouteTable
from kestreltally.knowledge import structs
from kestreltally.knowledge.doubts import Doubts
from kestreltally.knowledge.feed import (
    MAX_UNSENT_BYTES,
    MIN_TOTALS_INTERVAL,
    UNSENT_TIMEOUT,
    FeedServer,
    Peer,
    differs_significantly,
)
from kestreltally.knowledge.frames import FrameStream, MalformedFrame
from kestreltally.knowledge.idl import IDL_PATH
from kestreltally.knowledge.rows import (
    apply_change,
    decode_endpoint,
    encode_change,
    encode_endpoint,
)
from kestreltally.knowledge.structs import Report, Update
from kestreltally.knowledge.updates import LeaderState, LeaseInfo
from kestreltally.knowledge.watch_handlers import EXPIRY_GRACE_PERIOD, EndpointsHandler
from kestreltally.platform.documents import (
    MalformedDocument,
    decode_configuration,
    decode_version,
)
from kestreltally.platform.documents import decode_endpoint as decode_entry
from kestreltally.platform.engines import decode_report
from kestreltally.platform.store import Change, Changes, Listing, Revision, StoredObject
from tests.clocks import ManualClock
from tests.entryrig import KEY, MODELS, make_route
from tests.ports import reserve_port

ENTRY = {
    "Service": "models",
    "Address": "10.128.0.9:8080",
    "Zone": "north",
    "Slots": 32,
    "State": "ready",
    "Models": [{"Name": "base", "Version": 1, "Adapters": ["a1@4"]}],
    "Sequence": 4,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "Shop.example",
            "PathPrefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 6000,
            "ObjectiveMs": 600,
            "Priority": 0,
            "Split": [
                {"Service": "s1", "Weight": 90},
                {"Service": "s2", "Weight": 10},
            ],
            "Attempts": 2,
            "Resumable": True,
        }
    ],
    "Services": [
        {"Name": "s1", "HealthPath": "/health", "ConnectionCap": 10},
        {"Name": "s2", "HealthPath": "/health", "ConnectionCap": 10},
    ],
    "Limits": {
        "HeaderBytes": 16384,
        "BodyBytes": 1000,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Unknown": 1,
}


def make_endpoint(name: str, data_centre: str = "north") -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        service=MODELS,
        host="127.0.0.1",
        port=1,
        data_centre=data_centre,
        slots=4,
        leaving=False,
        weights={KEY: 1},
    )


def test_configuration_is_decoded_into_model() -> None:
    decoded = decode_configuration(CONFIGURATION)
    route = decoded.routes[0]
    assert (decoded.version, route.kind, route.timeout) == (7, RequestKind.STREAM, 6.0)
    assert route.host == "shop.example"
    assert [share.weight for share in route.shares] == [90.0, 10.0]
    assert route.repeatable


@pytest.mark.parametrize("missing", ["Version", "Routes", "Services", "Limits"])
def test_configuration_without_required_part_is_rejected(missing: str) -> None:
    document = {k: v for k, v in CONFIGURATION.items() if k != missing}
    with pytest.raises(MalformedDocument, match=missing):
        decode_configuration(document)


def test_entry_and_report_list_weights_of_engine() -> None:
    entry = decode_entry("i-1", ENTRY)
    assert entry.weights == {WeightsKey("base"): 1, WeightsKey("base", "a1"): 4}
    report = decode_report(
        b'{"Models":[{"Name":"base","Version":1,"Adapters":["a2@1"]}],'
        b'"Incoming":["base/a3@2"],"BusySlots":false,"Sequence":9,'
        b'"RunningCount":1,"WaitingCount":0,"Available":{"InMemory":["base/a4@1"]}}'
    )
    assert report.loading == {WeightsKey("base", "a3")}
    assert report.warm == {WeightsKey("base", "a4")}
    version = decode_version({"Model": "base", "Adapter": "a1", "Version": 5})
    assert version == (WeightsKey("base", "a1"), 5)


def test_longest_prefix_matches() -> None:
    table = RouteTable.build(
        make_route(prefix=prefix) for prefix in ("/", "/a/", "/a/b/")
    )
    found = {
        path: table.find("shop.example", path)
        for path in ("/a/b/c", "/a/bc", "/x", "/a/b")
    }
    prefixes = {path: route.prefix if route else None for path, route in found.items()}
    assert prefixes == {"/a/b/c": "/a/b/", "/a/bc": "/a/", "/x": "/", "/a/b": "/a/"}
    assert table.find("other.example", "/a/") is None


class ExpiryRig:
    """An endpoints handler whose store was unavailable until ``recovered_at``."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.recovered_at = float("-inf")
        self.known: dict[EndpointId, Endpoint] = {}
        self.follower = EndpointsHandler(
            self.known,
            lambda endpoint, _: self.known.__setitem__(endpoint.id, endpoint),
            lambda endpoint, *_: self.known.__delitem__(endpoint),
            lambda _: None,
            Doubts(),
            self.clock,
            lambda: self.recovered_at,
        )
        self.put()

    def put(self, **changes: Any) -> None:
        stored = StoredObject("i-1", 1, {**ENTRY, **changes})
        self.follower.apply_changes(Changes((Change(stored, False),), 1))

    def delete(self) -> None:
        stored = StoredObject("i-1", 2, ENTRY)
        self.follower.apply_changes(Changes((Change(stored, True),), 2))


def test_deleted_entry_is_removed_at_once() -> None:
    rig = ExpiryRig()
    rig.delete()
    assert not rig.known


def test_entry_that_expired_during_store_outage_can_return() -> None:
    rig = ExpiryRig()
    rig.recovered_at = rig.clock.now
    rig.follower.apply_listing(Listing((), 3))
    assert rig.known
    rig.clock.now += 1.0
    rig.put()
    rig.clock.now += 10.0
    rig.follower.drop_expired()
    assert rig.known


def test_grace_period_starts_at_store_recovery_not_at_deletion() -> None:
    # Guards against a grace period that starts at the deletion: an endpoint deleted
    # 1.5 s after the recovery of the store was used for 2.1 s longer.
    rig = ExpiryRig()
    rig.recovered_at = rig.clock.now
    rig.clock.now += EXPIRY_GRACE_PERIOD - 0.5
    rig.delete()
    assert rig.known
    rig.clock.now += 0.6
    rig.follower.drop_expired()
    assert not rig.known


def test_leaving_endpoint_has_no_grace_period() -> None:
    rig = ExpiryRig()
    rig.put(State="draining")
    rig.recovered_at = rig.clock.now
    rig.delete()
    assert not rig.known


def test_rows_and_changes_round_trip() -> None:
    before = make_endpoint("e1")
    other = WeightsKey("base", "a2")
    after = replace(before, weights={other: 3}, loading=frozenset({KEY}))
    assert decode_endpoint(encode_endpoint(before)) == before
    assert apply_change(before, encode_change(before, after)) == after


class FakeStream:
    """Records the updates sent to a daemon, which may read them slowly."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.unsent = 0
        self.aborted = False

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def abort(self) -> None:
        self.aborted = True


class FeedRig:
    """The feed of a leader in the data centre "north" that knows two data centres."""

    def __init__(self) -> None:
        self.rows = {
            each.id: each
            for each in (make_endpoint("n1"), make_endpoint("s1", "south"))
        }
        self.clock = ManualClock()
        self.version = 0
        self.feed = FeedServer(
            self.make_state, lambda: self.rows, dict, lambda _: None, self.clock
        )
        self.feed.measure_local = lambda: EMPTY
        self.stream = FakeStream()
        self.peer = Peer(self.stream, vm="other")  # type: ignore[arg-type]
        self.feed._peers.add(self.peer)

    def make_state(self) -> LeaderState:
        leads = (LeaseInfo("north", 1, Revision(1, 1)),)
        return LeaderState("me", leads, (), {}, 0.0, 0.0, self.version, b"{}")

    def update(self) -> Any:
        self.feed.send_all()
        return self.stream.sent[-1]


def test_follower_gets_all_endpoints_then_changes_only() -> None:
    rig = FeedRig()
    first = rig.update()
    assert first.whole and {row.id for row in first.rows} == {"n1", "s1"}
    name = EndpointId("n1")
    rig.rows[name] = replace(rig.rows[name], weights={})
    second = rig.update()
    assert not second.whole and not second.rows
    assert [change.id for change in second.changes] == ["n1"]
    del rig.rows[name]
    assert rig.update().gone == ["n1"]


def test_long_prompt_is_sent_between_regular_updates() -> None:
    # Guards against totals that arrive too late: regular updates are 0.2 to 0.4 s old,
    # and an engine reads a long prompt for 0.24 s.
    rig = FeedRig()
    rig.clock.now = 5.0
    assert rig.update().unread == {}
    rig.feed.measure_local = lambda: Occupancy({}, {EndpointId("n1"): 9_000})
    rig.clock.now += MIN_TOTALS_INTERVAL / 2
    assert rig.update().unread is None
    rig.feed.expedite_totals()
    assert rig.update().unread is None
    rig.clock.now += MIN_TOTALS_INTERVAL
    assert rig.update().unread == {"n1": 9_000}


@pytest.mark.parametrize(("tokens", "significant"), [(100, False), (9_000, True)])
def test_only_many_unread_tokens_are_significant(
    tokens: int, significant: bool
) -> None:
    before = Occupancy({}, {EndpointId("n1"): 20_000})
    after = Occupancy({}, {EndpointId("n1"): 20_000 - tokens})
    assert differs_significantly(before, after) is significant


async def test_daemon_that_does_not_lead_uses_little_cpu() -> None:
    rig = FeedRig()
    rig.feed._state = lambda: LeaderState("me", (), (), {}, 0.0, 0.0, 0, b"{}")
    rig.feed._clock = asyncio.get_running_loop().time
    before = time.process_time()
    running = asyncio.create_task(rig.feed.run())
    await asyncio.sleep(2.0)
    running.cancel()
    assert time.process_time() - before < 0.5


def test_leader_knows_when_followers_read_the_store() -> None:
    rig = FeedRig()
    rig.clock.now = 50.0
    report = Report(vm="other", store_age=60.0, read_age=0.3)
    rig.feed._record_report(rig.peer, report)
    assert rig.feed.get_store_read_at() == pytest.approx(49.7)
    assert rig.feed.get_store_answered_at() == pytest.approx(-10.0)


def test_follower_that_becomes_leader_gets_no_removals() -> None:
    # Guards against a new leader that removes all plain endpoints of the other data
    # centres.
    rig = FeedRig()
    rig.update()
    rig.peer.leads = frozenset({"south"})
    assert rig.update().gone == []


def test_slow_follower_gets_latest_state_only() -> None:
    # Guards against updates that queue on a slow link: each change waited behind the
    # earlier ones, and daemons applied configurations that were seconds old.
    rig = FeedRig()
    rig.update()
    rig.stream.unsent = MAX_UNSENT_BYTES + 1
    for version in range(1, 50):
        rig.rows[EndpointId("n1")] = replace(
            make_endpoint("n1"), weights={KEY: version}
        )
        rig.feed.send_all()
    assert len(rig.stream.sent) == 1
    rig.stream.unsent = 0
    change = rig.update().changes[0]
    assert [row.version for row in change.put] == [49]
    rig.stream.unsent = MAX_UNSENT_BYTES + 1
    rig.feed.send_all()
    rig.clock.now += UNSENT_TIMEOUT + 0.1
    rig.feed.send_all()
    assert rig.stream.aborted


def test_configuration_is_sent_again_only_after_retry_interval() -> None:
    rig = FeedRig()
    rig.version = 5
    rig.peer.configuration = 4
    assert rig.update().configuration == b"{}"
    assert not rig.update().configuration
    rig.clock.now += 1.1
    assert rig.update().configuration == b"{}"
    rig.peer.configuration = 5
    rig.clock.now += 1.1
    assert not rig.update().configuration


def test_other_leader_gets_configuration_only_if_it_lags() -> None:
    rig = FeedRig()
    rig.version = 5
    rig.peer.leads = frozenset({"south"})
    assert not rig.update().configuration
    rig.clock.now += 1.1
    assert rig.update().configuration == b"{}"


def test_holders_are_endpoints_with_usable_weights() -> None:
    fleet = Fleet()
    fleet.put_endpoint(make_endpoint("e1"))
    fleet.put_endpoint(replace(make_endpoint("e2"), leaving=True))
    assert [each.id for each in fleet.list_holders(MODELS, KEY, 0.0)] == ["e1"]
    fleet.record_missing_weights(EndpointId("e1"), KEY, 0.0)
    assert fleet.list_holders(MODELS, KEY, 0.1) == []
    assert len(fleet.list_holders(MODELS, KEY, 10.0)) == 1
    fleet.drop_endpoint(EndpointId("e1"))
    assert fleet.list_holders(MODELS, KEY, 10.0) == []


class Pipe:
    """Both ends of an in-memory stream of frames, which keeps the written bytes."""

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader()
        self.written: list[bytes] = []

    def write(self, content: bytes) -> None:
        self.written.append(content)
        self.reader.feed_data(content)


async def test_frames_round_trip_and_compress_repetition() -> None:
    pipe = Pipe()
    stream = FrameStream(pipe.reader, pipe)  # type: ignore[arg-type]
    rows = [encode_endpoint(make_endpoint(f"i-{at:08x}")) for at in range(9)]
    for _ in range(3):
        stream.send(Update(leader="north-1", rows=rows))
        update = await stream.receive(Update)
        assert [each.id for each in update.rows] == [each.id for each in rows]
    assert len(pipe.written[2]) < len(pipe.written[0]) / 4


@pytest.mark.parametrize("content", [b"\0\0\0\3abc", b"\xff\0\0\0"])
async def test_malformed_frames_are_rejected(content: bytes) -> None:
    pipe = Pipe()
    pipe.write(content)
    stream = FrameStream(pipe.reader, pipe)  # type: ignore[arg-type]
    with pytest.raises(MalformedFrame):
        await stream.receive(Update)


def test_structs_match_idl() -> None:
    # Daemons import generated structs, so that no IDL parser slows down their start.
    read = load(str(IDL_PATH), module_name="feed_thrift").__thrift_meta__["structs"]
    assert [describe_struct(each) for each in read] == [
        describe_struct(getattr(structs, each.__name__)) for each in read
    ]


def describe_struct(struct: Any) -> tuple[str, str, str]:
    spec = re.sub(r"<class '[\w.]*\.(\w+)'>", r"\1", repr(struct.thrift_spec))
    return struct.__name__, spec, repr(struct.default_spec)


async def test_closing_a_feed_waits_for_its_serving_tasks() -> None:
    rig = FeedRig()
    rig.feed._peers.clear()
    port = reserve_port()
    await rig.feed.start("127.0.0.1", port)
    before = asyncio.all_tasks()
    writers = [(await asyncio.open_connection("127.0.0.1", port))[1] for _ in range(3)]
    await asyncio.sleep(0.05)
    assert len(asyncio.all_tasks() - before) == 3
    await rig.feed.close()
    assert asyncio.all_tasks() == before
    for writer in writers:
        writer.close()
