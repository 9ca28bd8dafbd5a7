"""Exchanges observations and verdicts on the speed of engines over the feed.

Daemons report their observations to the leader they follow. Each engine is evaluated by
the leader of its data centre, to which the other leaders forward the observations of
their daemons. It sends verdicts on the engines that differ to its followers and to the
other leaders, who pass them on. The cost for a daemon grows with the number of engines
that it uses and of those that differ, not with the size of the fleet.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final
from zlib import crc32

from kestreltally.decisions import Decision, log_decision
from kestreltally.entry.relay import Relay
from kestreltally.fleet.model import (
    Endpoint,
    EndpointId,
    Seconds,
    ServiceName,
    is_other_incarnation,
)
from kestreltally.fleet.tables import Fleet
from kestreltally.knowledge.feed_parts import FeedPart, ReceivedUpdate
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.peer import Peer
from kestreltally.knowledge.structs import FactorRow, SpeedRow
from kestreltally.placing.lease import Lease
from kestreltally.speeds.known import KnownSpeeds, ObservedPrefillTimes
from kestreltally.speeds.observations import Observed, SpeedObserver, Sums
from kestreltally.speeds.slices import Witness
from kestreltally.speeds.verdicts import Verdict, VerdictTable

LOG = logging.getLogger("kestreltally.speeds")

# The length of a slice: verdicts hardly change faster.
EVALUATION_INTERVAL: Final[Seconds] = 0.5
# Rows kept for a leader that cannot be reached; later ones are dropped.
MAX_PENDING_ROWS: Final = 1_000
# The name under which a leader keeps its own verdicts.
OWN: Final = ""
TYPICAL: Final = Verdict(start_time_ms=0)


class SpeedExchange(FeedPart):
    """Sends observations in reports and verdicts in updates; applies both."""

    def __init__(
        self,
        vm: str,
        fleet: Fleet,
        relay: Relay,
        leaders: Leaders,
        get_lease: Callable[[Endpoint], Lease],
        clock: Callable[[], Seconds],
    ) -> None:
        self._witness = compute_witness(vm)
        self._fleet = fleet
        self._leaders = leaders
        self._get_lease = get_lease
        self._clock = clock
        self._observer = SpeedObserver(self._find_engine_service)
        self._table = VerdictTable()
        self._own: Mapping[EndpointId, Verdict] = {}
        self._evaluated_at: Seconds = float("-inf")
        # Observations for other leaders, by their data centres.
        self._pending: dict[str, dict[tuple[EndpointId, Witness], Observed]] = {}
        # Engines of which gauges were shown; a gauge keeps its value until it is set.
        self._shown: set[EndpointId] = set()
        self.known = KnownSpeeds(clock)
        relay.health.observer = self._observer
        relay.finder.switch_on_speeds(
            self.known, ObservedPrefillTimes(self.known, self._observer)
        )

    def _find_engine_service(self, endpoint: EndpointId) -> ServiceName | None:
        known = self._fleet.endpoints.get(endpoint)
        configuration = self._fleet.configuration
        if known is None or configuration is None:
            return None
        service = configuration.services.get(known.service)
        return known.service if service is not None and service.engine else None

    # Observations.

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Add this daemon's observations, or as a leader those of its group."""
        if self._leaders.leads:
            pending = self._pending.pop(data_centre, {})
            report.speeds = self._encode(pending)
        elif report.follows:
            own = {(k, self._witness): v for k, v in self._observer.pop().items()}
            report.speeds = self._encode(own)

    def _encode(
        self, observed: Mapping[tuple[EndpointId, Witness], Observed]
    ) -> list[Any]:
        endpoints = self._fleet.endpoints
        return [
            encode_observed(endpoints[name], witness, each)
            for (name, witness), each in observed.items()
            if name in endpoints
        ]

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Record the observations of a daemon, or of another leader's daemons."""
        if not self._leaders.leads:
            return
        for row in report.speeds or ():
            known = self._fleet.endpoints.get(EndpointId(row.endpoint))
            if known is None or is_other_incarnation(
                known.start_time_ms, row.born or 0
            ):
                continue
            witness, observed = row.witness, decode_observed(row)
            self._record(known, witness, observed, can_forward=not peer.leads)

    def _record(
        self,
        endpoint: Endpoint,
        witness: Witness,
        observed: Observed,
        *,
        can_forward: bool,
    ) -> None:
        """Record observations of an engine led, or keep them for its leader."""
        lease = self._get_lease(endpoint)
        if lease.leads:
            self._table.record(
                endpoint.id,
                endpoint.start_time_ms,
                endpoint.service,
                witness,
                observed,
                self._clock(),
            )
        elif can_forward:
            self._keep(lease.data_centre, (endpoint.id, witness), observed)

    def _keep(
        self, data_centre: str, key: tuple[EndpointId, Witness], observed: Observed
    ) -> None:
        pending = self._pending.setdefault(data_centre, {})
        before = pending.get(key)
        if before is not None:
            pending[key] = before.add(observed)
        elif len(pending) < MAX_PENDING_ROWS:
            pending[key] = observed

    # Verdicts.

    def run_maintenance(self) -> None:
        """Evaluate the engines led; called in each round of maintenance."""
        now = self._clock()
        if not self._leaders.leads:
            self._pending.clear()
            self._drop_own()
            return
        for name, observed in self._observer.pop().items():
            known = self._fleet.endpoints.get(name)
            if known is not None:
                self._record(known, self._witness, observed, can_forward=True)
        if now - self._evaluated_at < EVALUATION_INTERVAL:
            return
        self._evaluated_at = now
        self._table.retain(self._is_led)
        verdicts = self._table.evaluate(now)
        self._log_changes(verdicts)
        self._own = verdicts
        self.known.apply(OWN, verdicts)

    def _drop_own(self) -> None:
        if self._own:
            self._own = {}
            self.known.apply(OWN, {})
        self._table.retain(lambda _: False)

    def _is_led(self, endpoint: EndpointId) -> bool:
        known = self._fleet.endpoints.get(endpoint)
        return known is not None and self._get_lease(known).leads

    def _log_changes(self, verdicts: Mapping[EndpointId, Verdict]) -> None:
        for name, verdict in verdicts.items():
            before = self._own.get(name)
            if before is None or before.share > verdict.share:
                log_decision(
                    LOG,
                    Decision.ENGINE_DIFFERS,
                    endpoint=name,
                    reading=round(verdict.reading, 2),
                    streaming=round(verdict.streaming, 2),
                    share=verdict.share,
                )
        for name in self._own.keys() - verdicts.keys():
            log_decision(LOG, Decision.ENGINE_TYPICAL, endpoint=name)

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Add the verdicts: for another leader only those on the engines led."""
        verdicts = self._own if peer.leads else self.known.list_current()
        update.factors = [encode_verdict(k, v) for k, v in verdicts.items()]

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply the verdicts of the leader followed, or of another leader."""
        if not self._leaders.leads and not received.followed:
            return
        rows: Iterable[Any] = received.update.factors or ()
        verdicts = {EndpointId(row.endpoint): decode_verdict(row) for row in rows}
        self.known.apply(received.data_centre, verdicts)

    def measure(self) -> dict[str, dict[str, float]]:
        """Return the gauges of the engines that differ, or have differed before."""
        differing = self.known.list_current()
        self._shown.update(differing)
        current = {k: differing.get(k, TYPICAL) for k in self._shown}
        self._shown.intersection_update(self._fleet.endpoints)
        return {
            "engine_reading_factor": {k: v.reading for k, v in current.items()},
            "engine_streaming_factor": {k: v.streaming for k, v in current.items()},
            "engine_share": {k: v.share for k, v in current.items()},
            "engine_slow_seconds": {k: v.slow_for for k, v in current.items()},
            "engines_differing": {"known": float(len(differing))},
        }


def compute_witness(vm: str) -> Witness:
    """Return a number that stands for a VM's name, of 31 bits."""
    return crc32(vm.encode()) & 0x7FFFFFFF


def encode_observed(endpoint: Endpoint, witness: Witness, observed: Observed) -> Any:
    """Return the struct of observations; fields without any are not sent."""
    reading, streaming = observed.reading, observed.streaming
    return SpeedRow(
        endpoint=endpoint.id,
        born=endpoint.start_time_ms,
        witness=witness,
        reads=reading.count or None,
        read_sum=reading.total if reading.count else None,
        gaps=streaming.count or None,
        gap_sum=streaming.total if streaming.count else None,
        whole=observed.whole or None,
        failed=observed.failed or None,
    )


def decode_observed(row: Any) -> Observed:
    """Return the observations of a struct."""
    return Observed(
        reading=Sums(row.reads or 0, row.read_sum or 0.0),
        streaming=Sums(row.gaps or 0, row.gap_sum or 0.0),
        whole=row.whole or 0,
        failed=row.failed or 0,
    )


def encode_verdict(endpoint: EndpointId, verdict: Verdict) -> Any:
    """Return the struct of a verdict on an engine."""
    return FactorRow(
        endpoint=endpoint,
        born=verdict.start_time_ms,
        reading=verdict.reading,
        streaming=verdict.streaming,
        share=verdict.share,
        slow_for=verdict.slow_for,
    )


def decode_verdict(row: Any) -> Verdict:
    """Return the verdict of a struct."""
    return Verdict(
        start_time_ms=row.born or 0,
        reading=row.reading,
        streaming=row.streaming,
        share=row.share,
        slow_for=row.slow_for,
    )
