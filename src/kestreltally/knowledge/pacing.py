"""Wires the pacing of prompts into a daemon."""

from collections.abc import Callable

from kestreltally.deployment import Deployment
from kestreltally.entry.pacer import PromptPacer
from kestreltally.entry.relay import Relay
from kestreltally.fleet.model import Configuration, EndpointId, Seconds, ServiceName
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.datagrams import DatagramPort
from kestreltally.knowledge.exchange import Exchange
from kestreltally.knowledge.pauses import PauseExchange
from kestreltally.knowledge.turns import TurnExchange
from kestreltally.pacing.issuer import TurnIssuer
from kestreltally.pacing.line import EnginePace
from kestreltally.pacing.turns import TurnTable


def list_max_pauses(configuration: Configuration) -> dict[ServiceName, Seconds]:
    """Return the shortest of the longest allowed pauses of each service's streams."""
    pauses: dict[ServiceName, Seconds] = {}
    for route in configuration.routes:
        for share in route.shares:
            if route.max_pause:
                known = pauses.get(share.service, route.max_pause)
                pauses[share.service] = min(known, route.max_pause)
    return pauses


class Pacing:
    """The parts of pacing: this daemon's prompts, and turns issued as a leader."""

    def __init__(
        self,
        deployment: Deployment,
        fleet: Fleet,
        relay: Relay,
        exchange: Exchange,
        port: DatagramPort,
        clock: Callable[[], Seconds],
    ) -> None:
        self._fleet = fleet
        self._relay = relay
        self._clock = clock
        self._configuration: Configuration | None = None
        self._max_pauses: dict[ServiceName, Seconds] = {}
        self._turns = TurnTable(clock)
        self.issuer = TurnIssuer(
            self._get_pace, lambda *answer: self._exchange.send_answer(*answer), clock
        )
        self._exchange = TurnExchange(
            deployment.vm,
            fleet,
            exchange.leaders,
            exchange.get_lease,
            port,
            self._turns,
            self.issuer,
            clock,
        )
        self._pauses = PauseExchange(relay.delivery.pauses, exchange.leaders, clock)
        self._is_enabled = deployment.features.pacing
        if self._is_enabled:
            exchange.add_part(self._pauses)
            relay.runner.pacer = PromptPacer(
                fleet,
                self._turns,
                self._pauses.is_paced,
                relay.delivery.event_times,
                relay.finder.prefill_times,
            )

    def run_maintenance(self) -> None:
        """Decide where prompts are paced, and forget what is no longer needed."""
        if self._is_enabled:
            self._pauses.run_maintenance()
            self._exchange.run_maintenance()

    def measure(self) -> dict[str, float]:
        """Return what operators see of turns."""
        return {
            "granted": self._turns.granted,
            "unanswered": self._turns.unanswered,
            "too_late": self._turns.too_late,
            "waiting": self._turns.count_waiting(),
            "issued": self.issuer.issued,
            "in_lines": self.issuer.count_prompts(),
        }

    def _get_pace(self, endpoint: EndpointId, in_line: int) -> EnginePace:
        """Return an engine's pace; requests in its line are not running streams."""
        in_flight, _ = self._relay.health.measure_endpoint(endpoint, self._clock())
        in_flight += self._relay.finder.remote_occupancy.in_flight.get(endpoint, 0)
        known = self._fleet.endpoints.get(endpoint)
        return EnginePace(
            token_time=self._relay.finder.prefill_times.compute_token_time(endpoint),
            event_time=self._relay.delivery.event_times.get(endpoint),
            max_pause=self._get_max_pause(known.service) if known is not None else 0.0,
            streams=max(0, in_flight - in_line),
            first_event_delay=self._relay.finder.prefill_times.base_latency,
        )

    def _get_max_pause(self, service: ServiceName) -> Seconds:
        """Return the shortest longest pause of a service's streams, 0 if none."""
        configuration = self._fleet.configuration
        if configuration is not None and configuration is not self._configuration:
            self._configuration = configuration
            self._max_pauses = list_max_pauses(configuration)
        return self._max_pauses.get(service, 0.0)
