"""Exchanges slots of brittle endpoints by datagrams: asked of their leader, and lent.

The leader of an endpoint's data centre lends its slots. It keeps no state that outlasts
it: each daemon sends its whole list of requests at an endpoint again and again, from
which the next leader goes on. A request costs two datagrams to the leader and one back.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

from kestreltally.fleet.model import Endpoint, EndpointId, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.daemon_count import DaemonCount
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.list_order import ListOrder
from kestreltally.knowledge.structs import SlotRow, SlotsAsked, SlotsLent
from kestreltally.placing.lease import Lease
from kestreltally.slots.issuer import EndpointRoom, SlotAnswer, SlotIssuer
from kestreltally.slots.line import SlotList, WaitingRequest
from kestreltally.slots.table import SlotTable

# A new leader has the lists of all daemons that reach it after this time.
LEARNING_TIME: Final[Seconds] = 0.5
# The part of the rejections that an endpoint bears which all daemons that reach no
# issuer may cause together.
TRIAL_FRACTION: Final = 0.25


class SlotExchange:
    """Carries lists of requests to issuers, and slots back to daemons.

    ``count_in_flight`` returns how many requests of all daemons an endpoint has.
    """

    def __init__(
        self,
        vm: str,
        fleet: Fleet,
        leases: Mapping[str, Lease],
        leaders: Leaders,
        get_lease: Callable[[Endpoint], Lease],
        daemon_count: DaemonCount,
        port: DatagramPort,
        count_in_flight: Callable[[EndpointId], int],
        clock: Callable[[], Seconds],
    ) -> None:
        self._vm = vm
        self._count_in_flight = count_in_flight
        self._fleet = fleet
        self._leases = leases
        self._leaders = leaders
        self._get_lease = get_lease
        self._daemon_count = daemon_count
        self._port = port
        self._clock = clock
        self._order = ListOrder(clock)
        # Since when this daemon leads each data centre that it leads.
        self._led_since: dict[str, Seconds] = {}
        self.issuer = SlotIssuer(self._send_answer, self._is_learning, clock)
        self.table = SlotTable(clock)
        self.table.send_list = self._send_list
        self.table.is_serving = self._is_serving
        self.table.get_trial_rate = self._compute_trial_rate
        self.table.overloads.get_bearable = self._get_bearable
        port.handlers["slots_asked"] = self._apply_asked
        port.handlers["slots_lent"] = self._apply_lent

    def _is_serving(self, endpoint: EndpointId) -> bool:
        known = self._fleet.endpoints.get(endpoint)
        return known is not None and not known.leaving

    def _get_bearable(self, endpoint: EndpointId) -> float:
        """Return how many rejections a second an endpoint bears, 0 if unknown."""
        known = self._fleet.endpoints.get(endpoint)
        return (self._fleet.find_brittleness(known) or 0.0) if known else 0.0

    def _compute_trial_rate(self, endpoint: EndpointId) -> float:
        """Return how many requests a second this daemon may try without a slot."""
        daemons = self._daemon_count.maximum
        if not daemons:
            return 0.0
        return TRIAL_FRACTION * self._get_bearable(endpoint) / daemons

    # As a daemon.

    def _send_list(self, endpoint: EndpointId, listed: SlotList, serial: int) -> bool:
        """Send the list of this daemon's requests at an endpoint to its issuer."""
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return False
        bears = self._fleet.find_brittleness(known)
        lease = self._get_lease(known)
        if lease.leads:
            room = self._make_room(known, bears or 0.0)
            self.issuer.apply(self._vm, endpoint, room, listed, serial)
            return True
        leader = self._leaders.find_known_leader(lease.data_centre)
        if leader is None or leader.vm == self._vm:
            return False
        now = self._clock()
        rows = [_encode_waiting(each, now) for each in listed.waiting]
        asked = SlotsAsked(
            endpoint=endpoint,
            held=sorted(listed.held),
            waiting=rows,
            queued=listed.queued,
            rejected=listed.rejected,
            serial=serial,
            bears=bears,
        )
        while not self._port.send(leader.address, slots_asked=asked):
            if not rows:
                return False
            rows = rows[: len(rows) // 2]
            asked.waiting = rows
        return True

    def _apply_lent(self, message: Any, _: object) -> None:
        """Apply an issuer's answer."""
        lent = message.slots_lent
        answer = SlotAnswer(
            serial=lent.serial or 0,
            numbers=tuple(lent.numbers or ()),
            duration=lent.duration or 0.0,
            room=max(1, lent.room or 0),
            free=max(0, lent.free or 0),
            queued=lent.queued or 0,
            rejected=lent.rejected or 0,
        )
        self.table.apply_answer(EndpointId(lent.endpoint), answer)

    # As the issuer.

    def _apply_asked(self, message: Any, sender: Any) -> None:
        """Apply a daemon's list, as the leader of the endpoint's data centre."""
        asked = message.slots_asked
        endpoint = EndpointId(asked.endpoint)
        known = self._fleet.endpoints.get(endpoint)
        if known is None or not self._get_lease(known).leads:
            return
        if not self._order.record(message, endpoint, sender):
            return
        named = (self._fleet.find_brittleness(known), asked.bears)
        bears = min((each for each in named if each is not None), default=0.0)
        now = self._clock()
        listed = SlotList(
            held=frozenset(asked.held or ()),
            waiting=tuple(_decode_waiting(each, now) for each in asked.waiting or ()),
            queued=max(0, asked.queued or 0),
            rejected=asked.rejected or 0,
        )
        room = self._make_room(known, bears)
        self.issuer.apply(message.vm, endpoint, room, listed, asked.serial or 0)

    def _make_room(self, endpoint: Endpoint, bears: float) -> EndpointRoom:
        return EndpointRoom(endpoint.slots, bears, self._count_in_flight(endpoint.id))

    def _send_answer(
        self, daemon: str, endpoint: EndpointId, answer: SlotAnswer
    ) -> None:
        if daemon == self._vm:
            self.table.apply_answer(endpoint, answer)
            return
        address = self._order.addresses.get(daemon)
        if address is None:
            return
        lent = SlotsLent(
            endpoint=endpoint,
            serial=answer.serial,
            numbers=list(answer.numbers),
            duration=answer.duration,
            room=answer.room,
            free=answer.free,
            queued=answer.queued,
            rejected=answer.rejected,
        )
        self._port.send(address, slots_lent=lent)

    def _is_learning(self, endpoint: EndpointId) -> bool:
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return True
        since = self._led_since.get(self._get_lease(known).data_centre, float("inf"))
        return self._clock() - since < LEARNING_TIME

    def run_maintenance(self) -> None:
        """Notice which data centres are led, and forget what no leader needs."""
        led = [name for name, lease in self._leases.items() if lease.leads]
        now = self._clock()
        self._led_since = {name: self._led_since.get(name, now) for name in led}
        self.issuer.prune(self._is_led)
        self.table.overloads.prune_old()
        if led:
            self._order.prune()
        else:
            self._order.clear()

    def _is_led(self, endpoint: EndpointId) -> bool:
        known = self._fleet.endpoints.get(endpoint)
        return known is not None and self._get_lease(known).leads

    def measure(self) -> dict[str, float]:
        """Return what operators see of slots."""
        return {
            "obtained": self.table.obtained,
            "too_late": self.table.too_late,
            "tried": self.table.tried,
            "waiting": self.table.count_waiting(),
            "lent": self.issuer.lent,
            "queued": self.issuer.count_queued(),
        }


def _encode_waiting(request: WaitingRequest, now: Seconds) -> Any:
    return SlotRow(
        number=request.number, urgency=request.urgency, waited=now - request.asked_at
    )


def _decode_waiting(row: Any, now: Seconds) -> WaitingRequest:
    """Return the request of a struct, with times by this daemon's clock."""
    waited = max(0.0, row.waited or 0.0)
    return WaitingRequest(row.number, row.urgency or 0, now - waited)
