"""Keys, organisations, quotas, and the age limit of the configuration."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltally.entry.identity import OTHER_DAEMON_RETRY_DELAY, IdentityCheck
from kestreltally.entry.request import Refused
from kestreltally.fleet.model import (
    Configuration,
    Organisation,
    OrganisationName,
    Quota,
    QuotaUnit,
)
from kestreltally.fleet.organisations import KeyTable, digest_key
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.authority import (
    DRIFT_MARGIN,
    FRESHNESS_LIMIT,
    Authority,
    ConfigurationReader,
)
from kestreltally.platform.documents import MalformedDocument, decode_configuration
from kestreltally.platform.store import REWRITE_WINDOW, StoredObject, StoreError
from kestreltally.quotas.order import Ask, Verdict
from kestreltally.quotas.spending import Keeper, Throttle
from tests.clocks import ManualClock
from tests.entryrig import (
    EntryRig,
    ScriptedEndpoint,
    SeenRequest,
    make_answer,
    make_configuration,
    make_route,
    run_entry,
)

ALPHA = Organisation(
    OrganisationName("alpha"),
    ("key-a", "key-a2"),
    priority=0,
    quota=Quota(QuotaUnit.TOKENS, 1_000.0, 1_000.0, 200),
)
BETA = Organisation(OrganisationName("beta"), ("key-b",))
BOUND = 5.0


async def answer(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(make_answer(seen))


def put_organisations(rig: EntryRig, *organisations: Organisation) -> None:
    current = rig.fleet.configuration
    assert current is not None
    rig.fleet.apply_configuration(
        replace(current, version=current.version + 1, organisations=organisations)
    )


def make_key_headers(key: str, **more: str) -> dict[str, str]:
    return {"X-Credential": key, **more}


async def test_key_is_removed_and_organisation_header_set() -> None:
    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], make_route()) as rig:
        put_organisations(rig, ALPHA, BETA)
        reply = await rig.ask(
            headers=make_key_headers("key-b", **{"X-Tenant-Name": "alpha"})
        )
    assert reply.status == 200
    (seen,) = endpoint.seen
    assert b"key-b" not in seen.head
    assert seen.head.lower().count(b"x-tenant-name") == 1
    assert seen.find(b"x-tenant-name") == b"beta"


async def test_public_route_needs_no_key_and_sets_no_organisation() -> None:
    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], replace(make_route(), public=True)) as rig:
        put_organisations(rig, ALPHA)
        reply = await rig.ask(headers={"X-Tenant-Name": "alpha"})
    assert reply.status == 200
    assert endpoint.seen[0].find(b"x-tenant-name") is None


async def test_without_organisations_no_key_is_needed_or_forwarded() -> None:
    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], make_route()) as rig:
        reply = await rig.ask(headers=make_key_headers("k", **{"X-Tenant-Name": "x"}))
    assert reply.status == 200
    assert endpoint.seen[0].find(b"x-credential") is None
    assert endpoint.seen[0].find(b"x-tenant-name") is None


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({}, 401),
        (make_key_headers(""), 401),
        (make_key_headers("unknown"), 401),
        (make_key_headers("key-a "), 200),
        (make_key_headers("k" * 8_000), 401),
        (make_key_headers("key-a", **{"x-credential": "key-b"}), 400),
    ],
)
async def test_status_by_key_header(headers: dict[str, str], status: int) -> None:
    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], make_route()) as rig:
        put_organisations(rig, ALPHA, BETA)
        reply = await rig.ask(headers=headers)
    assert reply.status == status
    assert len(endpoint.seen) == (status == 200)


async def test_key_revoked_while_its_request_waits_is_refused() -> None:
    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], make_route()) as rig:
        put_organisations(rig, ALPHA, BETA)
        find = rig.relay.finder.find

        async def find_late(request: Any, progress: Any) -> Any:
            option = await find(request, progress)
            put_organisations(rig, ALPHA)
            return option

        rig.relay.finder.find = find_late  # type: ignore[method-assign]
        reply = await rig.ask(headers=make_key_headers("key-b"))
    assert reply.status == 401
    assert endpoint.seen == []


async def test_request_over_quota_gets_retry_after() -> None:
    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], make_route()) as rig:
        put_organisations(rig, ALPHA, BETA)
        rig.limiter.apply_throttles([Throttle(ALPHA.name, 0.0, 5_000.0, 1.5)])
        refused = await rig.ask(headers=make_key_headers("key-a"))
        other = await rig.ask(headers=make_key_headers("key-b"))
        spent = rig.limiter.pop_spendings()
    assert (refused.status, refused.headers["retry-after"]) == (429, "1.50")
    assert other.status == 200
    # A plain request counts the fixed units of its quota, and was not granted.
    assert [(each.asked, each.granted) for each in spent] == [(200, 0)]


@pytest.mark.parametrize(
    ("verdict", "status", "retry_after"),
    [
        (Verdict(granted=True), 200, None),
        (Verdict(granted=False, wait=0.4, reserved=True), 429, "0.40"),
        # A silent keeper: the ratio decides.
        (None, 429, "1.50"),
    ],
)
async def test_the_keepers_verdict_goes_before_the_ratio(
    verdict: Verdict | None, status: int, retry_after: str | None
) -> None:
    asked: list[Ask] = []

    async def ask_keeper(_: Keeper, ask: Ask) -> Verdict | None:
        asked.append(ask)
        return verdict

    endpoint = ScriptedEndpoint("e", answer)
    async with run_entry([endpoint], make_route()) as rig:
        put_organisations(rig, ALPHA)
        rig.api._gate.ask_keeper = ask_keeper
        throttle = Throttle(ALPHA.name, 0.0, 5_000.0, 1.5, Keeper("127.0.0.1", 1))
        rig.limiter.apply_throttles([throttle])
        first = await rig.ask(headers=make_key_headers("key-a"))
        again = await rig.ask(headers=make_key_headers("key-a"), request_id="other")
        spent = rig.limiter.pop_spendings()
    assert (first.status, first.headers.get("retry-after")) == (status, retry_after)
    assert again.status == status
    # A client that returns is known by its request, and the keeper counts what it
    # granted.
    assert asked[0] == asked[1]
    assert [(each.asked, each.granted) for each in spent] == [(400, 0)]


async def test_request_that_did_not_run_returns_its_quota_units() -> None:
    async with run_entry([], make_route()) as rig:
        put_organisations(rig, ALPHA)
        reply = await rig.ask(headers=make_key_headers("key-a"))
        spent = rig.limiter.pop_spendings()
    assert reply.status == 503
    assert [(each.asked, each.granted) for each in spent] == [(200, 0)]


async def test_daemon_that_cannot_check_keys_refuses_at_once() -> None:
    endpoint = ScriptedEndpoint("e", answer)
    public = replace(make_route(prefix="/p/"), public=True)
    async with run_entry([endpoint], make_route(), public) as rig:
        put_organisations(rig, ALPHA)
        rig.authority.as_of -= BOUND
        keyed = await rig.ask(headers=make_key_headers("key-a"))
        open_to_all = await rig.ask(path="/p/x")
        ready = rig.api.ready
    assert (keyed.status, keyed.headers["retry-after"]) == (
        503,
        f"{OTHER_DAEMON_RETRY_DELAY:.2f}",
    )
    assert open_to_all.status == 200
    assert len(endpoint.seen) == 1
    # No leader is in contact, so other daemons are the better choice.
    assert not ready


def make_check(clock: ManualClock) -> tuple[IdentityCheck, Authority]:
    fleet = Fleet()
    configuration = make_configuration(1, make_route())
    fleet.apply_configuration(replace(configuration, organisations=(ALPHA,)))
    authority = Authority(BOUND, clock)
    return IdentityCheck(fleet, authority), authority


def test_unknown_key_is_refused_permanently_only_on_fresh_configuration() -> None:
    clock = ManualClock()
    check, authority = make_check(clock)
    authority.record(clock.now)
    with pytest.raises(Refused) as known:
        check.identify(["new"], make_route())
    clock.now += FRESHNESS_LIMIT + 0.1
    with pytest.raises(Refused) as stale:
        check.identify(["new"], make_route())
    assert (known.value.status, stale.value.status) == (401, 503)
    assert stale.value.retry_after is not None


def test_daemons_stay_ready_when_all_have_lost_the_store() -> None:
    clock = ManualClock()
    check, authority = make_check(clock)
    authority.record(clock.now - BOUND)
    assert check.is_isolated
    check.has_leader_contact = True
    assert not check.is_isolated


def test_no_key_is_needed_once_the_configuration_has_no_organisations() -> None:
    clock = ManualClock()
    check, authority = make_check(clock)
    authority.record(clock.now)
    caller = check.identify(["key-a"], make_route())
    assert caller is not None
    check._fleet.apply_configuration(make_configuration(2, make_route()))
    check.recheck(caller)
    assert check.identify([], make_route()) is None


def test_duplicate_key_belongs_to_the_first_organisation() -> None:
    table = KeyTable([ALPHA, Organisation(OrganisationName("thief"), ("key-a",))])
    assert table.find(digest_key("key-a")) is ALPHA


def test_keys_are_not_in_repr() -> None:
    assert "key-a" not in repr(ALPHA)
    configuration = replace(make_configuration(1), organisations=(ALPHA,))
    assert "key-a" not in repr(configuration)


# The age limit of the configuration.


def test_authority_holds_up_to_the_bound() -> None:
    clock = ManualClock()
    authority = Authority(BOUND, clock)
    assert not authority.is_valid
    authority.record(100.0)
    clock.now = 100.0 + BOUND - DRIFT_MARGIN - 0.01
    assert authority.is_valid
    clock.now += 0.02
    assert not authority.is_valid


def test_older_confirmation_is_ignored() -> None:
    authority = Authority(BOUND, ManualClock())
    authority.record(100.0)
    authority.record(98.0)
    assert authority.as_of == 100.0


class SlowStore:
    """Answers after a delay, with its state at the time of the request."""

    def __init__(self, clock: ManualClock, takes: float) -> None:
        self._clock = clock
        self._takes = takes
        self.fails = False
        self.restored_at = float("-inf")

    async def read(self, kind: str, name: str) -> StoredObject:
        if self.fails:
            raise StoreError("away")
        self._clock.now += self._takes
        return StoredObject(name, 1, {})


def make_reader(
    store: Any, authority: Authority, take: Callable[[StoredObject], bool]
) -> ConfigurationReader:
    return ConfigurationReader(
        store, authority, take, lambda: True, lambda: 1, authority._clock
    )


async def test_restored_store_confirms_nothing_until_rewritten() -> None:
    # The change that revoked a key may be among the writes that the store has lost.
    clock = ManualClock()
    authority = Authority(BOUND, clock)
    store = SlowStore(clock, 0.01)
    reader = make_reader(store, authority, lambda _: True)
    store.restored_at = clock.now - REWRITE_WINDOW / 2
    await reader.read()
    assert not authority.check()
    clock.now += REWRITE_WINDOW
    await reader.read()
    assert authority.check()


async def test_read_confirms_as_of_the_time_it_was_sent() -> None:
    clock = ManualClock()
    authority = Authority(BOUND, clock)
    await make_reader(SlowStore(clock, 1.2), authority, lambda _: True).read()
    assert authority.as_of == 100.0
    assert authority.compute_age() == pytest.approx(1.2)


async def test_configuration_that_was_not_applied_confirms_nothing() -> None:
    clock = ManualClock()
    authority = Authority(BOUND, clock)
    await make_reader(SlowStore(clock, 0.0), authority, lambda _: False).read()
    assert not authority.is_valid


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    hops=st.lists(
        st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 3.0), st.floats(0.0, 20.0)),
        min_size=1,
        max_size=4,
    ),
    offsets=st.lists(st.floats(-1e5, 1e5), min_size=5, max_size=5),
)
def test_along_any_way_a_word_is_never_younger_than_its_proof(
    hops: list[tuple[float, float, float]], offsets: list[float]
) -> None:
    """Reports, updates and frozen readers late by any time; clocks that differ."""
    now, proof = 1_000.0, 1_000.0
    as_of = proof + offsets[0]
    for number, (report_late, told_after, update_late) in enumerate(hops):
        own, leader = offsets[number + 1], offsets[number]
        stamp = now + own
        now += report_late
        arrived = now + leader
        now += told_after
        known_by = as_of - arrived
        now += update_late
        as_of = stamp + known_by
        believed = as_of - own
        assert believed <= proof + 1e-6


# Decoding of organisations from the configuration document.

TENANT = {
    "Name": "hule930",
    "Keys": ["a", "b"],
    "Priority": 1,
    "Unit": "tokens",
    "PlainTokens": 200,
    "RatePerS": 162743,
    "Burst": 162743,
}
DOCUMENT: dict[str, Any] = {
    "Version": 7,
    "Routes": [],
    "Services": [],
    "Limits": {
        "HeaderBytes": 1,
        "BodyBytes": 1,
        "HeaderTimeoutMs": 1,
        "IdleTimeoutMs": 1,
    },
}


def decode(**tenant: Any) -> Configuration:
    return decode_configuration({**DOCUMENT, "Tenants": [{**TENANT, **tenant}]})


def test_organisations_are_decoded() -> None:
    (organisation,) = decode().organisations
    assert organisation.name == "hule930"
    assert organisation.keys == ("a", "b")
    assert organisation.priority == 1
    assert organisation.quota == Quota(QuotaUnit.TOKENS, 162_743.0, 162_743.0, 200)


@pytest.mark.parametrize("rate", [0, None])
def test_organisation_without_rate_has_no_quota(rate: int | None) -> None:
    (organisation,) = decode(RatePerS=rate).organisations
    assert organisation.quota is None


def test_organisation_without_keys_is_valid() -> None:
    (organisation,) = decode(Keys=[]).organisations
    assert KeyTable([organisation]).find(digest_key("")) is None


@pytest.mark.parametrize(
    "broken",
    [{"Unit": "bytes"}, {"RatePerS": "much"}, {"Keys": 7}, {"Keys": "abc"}],
)
def test_malformed_organisation_is_rejected(broken: dict[str, Any]) -> None:
    with pytest.raises(MalformedDocument):
        decode(**broken)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(sorted(TENANT)), inner, max_size=4),
    max_leaves=8,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(tenants=JSON)
def test_any_organisations_are_decoded_or_named_malformed(tenants: Any) -> None:
    with suppress(MalformedDocument):
        decode_configuration({**DOCUMENT, "Tenants": tenants})
