"""Exchanges turns at engines by datagrams: asked of an engine's leader, and issued.

The leader of an engine's data centre issues its turns. It keeps no state that outlasts
it: each daemon sends its whole list of prompts at an engine again and again, from which
the next leader goes on. The cost for a daemon grows with its own prompts, that for a
leader with the prompts at the engines of its data centre.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import Endpoint, EndpointId, Seconds
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.list_order import ListOrder
from kestreltally.knowledge.structs import PromptRow, TurnsAsked, TurnsGranted
from kestreltally.pacing.issuer import TurnIssuer
from kestreltally.pacing.line import Prompt
from kestreltally.pacing.turns import Ask, TurnTable
from kestreltally.placing.lease import Lease

# A client does not wait longer for its first event.
MAX_REMAINING_TIME: Final[Seconds] = 60.0
# No engine has room for more tokens.
MAX_TOKENS: Final = 2**31 - 1


class TurnExchange:
    """Carries lists of prompts to issuers, and turns back to daemons."""

    def __init__(
        self,
        vm: str,
        fleet: Fleet,
        leaders: Leaders,
        get_lease: Callable[[Endpoint], Lease],
        port: DatagramPort,
        table: TurnTable,
        issuer: TurnIssuer,
        clock: Callable[[], Seconds],
    ) -> None:
        self._vm = vm
        self._fleet = fleet
        self._leaders = leaders
        self._get_lease = get_lease
        self._port = port
        self._table = table
        self._issuer = issuer
        self._clock = clock
        self._order = ListOrder(clock)
        port.handlers["turns_asked"] = self._apply_asked
        port.handlers["turns_granted"] = self._apply_granted
        table.send_list = self._send_list

    def _send_list(self, endpoint: EndpointId, asks: Sequence[Ask]) -> bool:
        """Send the list of this daemon's prompts at an engine to its issuer."""
        known = self._fleet.endpoints.get(endpoint)
        if known is None:
            return False
        lease = self._get_lease(known)
        now = self._clock()
        if lease.leads:
            prompts = [_make_prompt(self._vm, each) for each in asks]
            self._issuer.apply(self._vm, endpoint, prompts)
            return True
        leader = self._leaders.find_known_leader(lease.data_centre)
        if leader is None or leader.vm == self._vm:
            return False
        rows = [_encode_ask(each, now) for each in asks]
        while True:
            asked = TurnsAsked(endpoint=endpoint, prompts=rows)
            if self._port.send(leader.address, turns_asked=asked):
                return True
            if len(rows) < 2:
                return False
            # Long names of organisations may exceed a datagram: the first half is sent.
            rows = rows[: len(rows) // 2]

    def _apply_asked(self, message: Any, sender: SocketAddress) -> None:
        """Apply a daemon's list, as the leader of the engine's data centre."""
        asked = message.turns_asked
        endpoint = EndpointId(asked.endpoint)
        known = self._fleet.endpoints.get(endpoint)
        if known is None or not self._get_lease(known).leads:
            return
        if not self._order.record(message, endpoint, sender):
            return
        now = self._clock()
        prompts = [_decode_prompt(message.vm, row, now) for row in asked.prompts or ()]
        self._issuer.apply(message.vm, endpoint, prompts)

    def send_answer(
        self,
        daemon: str,
        endpoint: EndpointId,
        granted: Sequence[int],
        waits: Mapping[int, Seconds],
    ) -> None:
        """Send a daemon its turns and waits, as the issuer."""
        if daemon == self._vm:
            self._table.apply_answer(endpoint, granted, dict(waits))
            return
        address = self._order.addresses.get(daemon)
        if address is not None:
            answer = TurnsGranted(
                endpoint=endpoint, numbers=list(granted), waits=dict(waits)
            )
            self._port.send(address, turns_granted=answer)

    def _apply_granted(self, message: Any, _: SocketAddress) -> None:
        """Apply an issuer's answer."""
        answer = message.turns_granted
        self._table.apply_answer(
            EndpointId(answer.endpoint), answer.numbers or (), answer.waits or {}
        )

    def run_maintenance(self) -> None:
        """Forget what only a leader needs to know, and engines that are gone."""
        if not self._leaders.leads:
            self._issuer.clear()
            self._order.clear()
            return
        self._issuer.prune()
        self._order.prune()


def _make_prompt(daemon: str, ask: Ask) -> Prompt:
    need = ask.need
    return Prompt(
        daemon=daemon,
        number=ask.number,
        tokens=need.tokens,
        urgency=need.urgency,
        organisation=need.organisation,
        asked_at=ask.asked_at,
        begin_by=need.begin_by,
        give_up_at=need.give_up_at,
        reading=ask.reading,
    )


def _encode_ask(ask: Ask, now: Seconds) -> Any:
    need = ask.need
    return PromptRow(
        number=ask.number,
        tokens=min(MAX_TOKENS, need.tokens),
        urgency=need.urgency,
        organisation=need.organisation,
        waited=now - ask.asked_at,
        begin_in=need.begin_by - now,
        give_up_in=min(MAX_REMAINING_TIME, need.give_up_at - now),
        reading=ask.reading,
    )


def _decode_prompt(daemon: str, row: Any, now: Seconds) -> Prompt:
    """Return the prompt of a struct, with times by this daemon's clock."""
    return Prompt(
        daemon=daemon,
        number=row.number,
        tokens=max(0, row.tokens or 0),
        urgency=row.urgency or 0,
        organisation=row.organisation or "",
        asked_at=now - max(0.0, row.waited or 0.0),
        begin_by=now + (row.begin_in or 0.0),
        give_up_at=now + (row.give_up_in or 0.0),
        reading=bool(row.reading),
    )
