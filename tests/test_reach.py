"""Whether a failure is an endpoint's or that of this daemon's own path."""

import pytest

from kestreltally.entry.upstream import ChannelPool
from kestreltally.fleet.model import Endpoint
from kestreltally.fleet.notices import NoticeTable
from kestreltally.fleet.tables import Fleet
from kestreltally.reach.contact import Contact, Reach
from kestreltally.reach.prober import ENDPOINTS_PER_ROUND, Prober, ProbeResult
from tests.clocks import ManualClock
from tests.entryrig import ScriptedEndpoint
from tests.test_entry import answer_whole


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def contact(clock: ManualClock) -> Contact:
    contact = Contact(clock)
    contact.is_probed = True
    return contact


def collect(contact: Contact) -> list[str]:
    """Return a list to which what is held back is added once it is believed."""
    believed: list[str] = []
    contact.believe_later(lambda: believed.append("failed"))
    return believed


def test_failure_is_believed_once_another_connection_opens(contact: Contact) -> None:
    contact.record_not_opened()
    believed = collect(contact)
    contact.record_answered()
    assert not believed, "bytes of open channels say nothing of new ones"
    contact.record_opened()
    assert believed


def test_broken_channel_is_believed_once_another_speaks(contact: Contact) -> None:
    contact.record_broken()
    believed = collect(contact)
    contact.record_opened()
    assert not believed
    contact.record_answered()
    assert believed


def test_failures_of_a_daemon_that_is_cut_off_are_never_believed(
    contact: Contact, clock: ManualClock
) -> None:
    contact.record_answered()
    clock.now += 1.0
    contact.record_broken()
    believed = collect(contact)
    contact.apply_probes(answered=False, began_at=clock.now)
    assert contact.reach is Reach.CUT_OFF
    assert not collect(contact)
    contact.apply_probes(answered=True, began_at=clock.now)
    assert contact.is_open
    assert not contact.is_doubted
    assert not believed


def test_daemon_whose_open_channels_speak_is_blocked_only(
    contact: Contact, clock: ManualClock
) -> None:
    contact.record_not_opened()
    contact.record_answered()
    contact.apply_probes(answered=False, began_at=clock.now)
    assert contact.reach is Reach.BLOCKED
    contact.record_opened()
    assert contact.reach is Reach.BLOCKED, "only an answered probe ends it"


def test_silent_endpoint_among_others_casts_no_lasting_doubt(contact: Contact) -> None:
    contact.record_broken()
    contact.record_answered()
    assert not contact.is_doubted
    assert contact.is_open


def test_without_a_prober_failures_are_believed_at_once() -> None:
    contact = Contact(ManualClock())
    contact.record_not_opened()
    assert collect(contact)


async def test_one_round_without_answers_drops_nothing_that_failed(
    contact: Contact, clock: ManualClock
) -> None:
    # Several engines may be down at once, or this process be late.
    fleet = Fleet()
    for number in range(6):
        endpoint = ScriptedEndpoint(f"e{number}", answer_whole)
        fleet.put_endpoint(endpoint.make_endpoint())
    prober = Prober(contact, fleet, ChannelPool(NoticeTable()), "vm", clock)
    asked = []

    async def probe(endpoint: Endpoint) -> ProbeResult:
        asked.append(endpoint)
        answers = len(asked) > ENDPOINTS_PER_ROUND
        return ProbeResult.ANSWERED if answers else ProbeResult.NOTHING

    prober._probe = probe  # type: ignore[method-assign]
    contact.record_not_opened()
    believed = collect(contact)
    await prober._run_round()
    assert contact.is_open
    assert believed


def test_path_is_not_at_fault_while_connections_open_to_paused_endpoints(
    contact: Contact, clock: ManualClock
) -> None:
    # Guards against all daemons taking themselves for cut off while engines are paused.
    contact.record_broken()
    clock.now += 1.0
    contact.apply_probes(answered=False, opened=True, began_at=clock.now - 0.3)
    assert contact.is_open and contact.is_doubted
    clock.now += 1.0
    contact.apply_probes(answered=False, opened=True, began_at=clock.now - 0.3)
    assert contact.is_cut_off, "a path that carries no bytes is at fault after a while"
