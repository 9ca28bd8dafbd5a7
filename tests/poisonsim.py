"""Simulates a request that crashes engines, in virtual time.

Measures how soon every daemon knows of it. Daemons use real registers, and reports
travel over the leaders. ``python -m tests.poisonsim`` prints the metrics for each kind
of sharing and each fault.
"""

import heapq
import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random
from statistics import mean

from kestreltally.poison.facts import Fact, IncarnationName, Sighting, make_clearing
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.poison.register import PoisonRegister

SEEDS = 200
DURATION = 40.0
# The operators' bound: sends later than this after the third crash are counted.
KNOWN_WITHIN = 3.0
POISON = "poison"
RESTART_TIME = (2.0, 4.0)
RETRY_INTERVAL = (0.3, 2.0)
# How long an engine runs the request before it crashes, seconds.
RUN_TIME = (0.02, 0.1)
# Concurrent requests of each daemon at each engine, and their duration.
OTHERS_PER_ENGINE = 0.6
OTHER_RUN_TIME = 1.2
# Fraction of cut off requests that are retried once.
RETRIED_FRACTION = 0.6
# Delays: a report is sent at once, an update is batched; both cross the network.
REPORT_DELAY = (0.005, 0.03)
UPDATE_DELAY = (0.025, 0.08)


class Sharing(Enum):
    """How daemons know of each other's sightings."""

    NONE = "each daemon alone"
    LEADERS = "over the leaders"


class Fault(Enum):
    """An injected fault in the exchange of facts."""

    NONE = "none"
    SLOW = "each message a second late"
    LEADER_LOST = "a leader fails as the second crash is reported"
    WITNESS_LOST = "the witness of the second crash is killed with it"
    ONE_SEES_ALL = "one daemon gets all sends"


@dataclass
class Metrics:
    """The results of one simulation."""

    ends: int = 0
    late_sends: int = 0
    others: int = 0
    others_refused: int = 0
    known_after: float = 0.0
    facts: int = 0


@dataclass(eq=False)
class Daemon:
    """A daemon with its register and group."""

    register: PoisonRegister
    group: int
    lost: bool = False
    # Requests of others in flight: engine, name, start time.
    in_flight: list[tuple[int, str, float]] = field(default_factory=list)


class Simulation:
    """The simulation of one seed."""

    def __init__(
        self, seed: int, daemons: int, groups: int, sharing: Sharing, fault: Fault
    ) -> None:
        self._random = Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._sharing = sharing
        self._fault = fault
        self.metrics = Metrics()
        self._engines = 9 * max(1, daemons // 40)
        self._lives = dict.fromkeys(range(self._engines), 0)
        self._up = set(range(self._engines))
        self._daemons = [
            Daemon(PoisonRegister(lambda: self._now), number % groups)
            for number in range(daemons)
        ]
        self._groups = groups
        self._third_crash_at: float | None = None
        self._disconnected_until: dict[int, float] = {}

    def at(self, moment: float, work: Callable[[], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._sequence), work))

    def later(self, bounds: tuple[float, float], work: Callable[[], None]) -> None:
        self.at(self._now + self._random.uniform(*bounds), work)

    def run(self) -> Metrics:
        self.at(1.0, self._send_poison)
        self.at(0.0, self._send_others)
        while self._events:
            self._now, _, work = heapq.heappop(self._events)
            if self._now > DURATION:
                break
            work()
        self.metrics.facts = max(
            each.register.fact_log.position for each in self._daemons
        )
        return self.metrics

    # Requests.

    def _choose_daemon(self) -> Daemon:
        if self._fault is Fault.ONE_SEES_ALL:
            return self._daemons[-1]
        return self._random.choice([each for each in self._daemons if not each.lost])

    def _send_poison(self) -> None:
        daemon = self._choose_daemon()
        blocked = daemon.register.find_block(make_fingerprint(POISON).digest)
        if blocked is None and self._up:
            if (
                self._third_crash_at is not None
                and self._now > self._third_crash_at + KNOWN_WITHIN
            ):
                self.metrics.late_sends += 1
            engine = self._random.choice(sorted(self._up))
            sent_at = self._now
            self.later(RUN_TIME, lambda: self._end_engine(engine, daemon, sent_at))
        self.later(RETRY_INTERVAL, self._send_poison)

    def _send_others(self) -> None:
        """Start others' requests: each daemon has some at each engine."""
        rate = OTHERS_PER_ENGINE / OTHER_RUN_TIME * len(self._up)
        for daemon in self._daemons:
            if not daemon.lost and self._random.random() < rate * 0.1:
                self._send_other(daemon, f"other-{next(self._sequence)}", repeats=1)
        self.later((0.1, 0.1), self._send_others)

    def _send_other(self, daemon: Daemon, name: str, repeats: int) -> None:
        if not self._up:
            return
        self.metrics.others += 1
        if daemon.register.find_block(make_fingerprint(name).digest) is not None:
            self.metrics.others_refused += 1
            return
        attempt = (self._random.choice(sorted(self._up)), name, self._now)
        daemon.in_flight.append(attempt)

        def finish() -> None:
            if attempt in daemon.in_flight:
                daemon.in_flight.remove(attempt)
                digest = make_fingerprint(name).digest
                if daemon.register.is_suspect(digest):
                    clearing = make_clearing(make_fingerprint(name), self._now)
                    self._report(daemon, [clearing])
            elif repeats and self._random.random() < RETRIED_FRACTION:
                self._send_other(self._choose_daemon(), name, repeats - 1)

        self.later((0.1, 2 * OTHER_RUN_TIME), finish)

    # Crashes.

    def _end_engine(self, engine: int, sender: Daemon, sent_at: float) -> None:
        if engine not in self._up:
            return
        self._up.discard(engine)
        incarnation = IncarnationName(f"e{engine}.{self._lives[engine]}")
        self._lives[engine] += 1
        self.metrics.ends += 1
        if self.metrics.ends == 3:
            self._third_crash_at = self._now
            self.at(self._now + 0.001, self._poll_knowledge)
        self._inject_fault(sender)
        for daemon in self._daemons:
            seen = [each for each in daemon.in_flight if each[0] == engine]
            daemon.in_flight = [each for each in daemon.in_flight if each[0] != engine]
            facts: list[Fact] = [
                Sighting(
                    make_fingerprint(name),
                    incarnation,
                    since,
                    self._now,
                    True,
                    self._daemons.index(daemon),
                )
                for _, name, since in seen
            ]
            if daemon is sender:
                poison = make_fingerprint(POISON)
                witness = self._daemons.index(daemon)
                facts.append(
                    Sighting(poison, incarnation, sent_at, self._now, False, witness)
                )
            if facts and not daemon.lost:
                self._report(daemon, facts)
        self.later(RESTART_TIME, lambda: self._up.add(engine))

    def _inject_fault(self, sender: Daemon) -> None:
        if self.metrics.ends != 2:
            return
        if self._fault is Fault.WITNESS_LOST:
            sender.lost = True
        elif self._fault is Fault.LEADER_LOST:
            self._disconnected_until[sender.group] = self._now + 2.0

    def _poll_knowledge(self) -> None:
        digest = make_fingerprint(POISON).digest
        known = all(
            each.lost or each.register.find_block(digest) for each in self._daemons
        )
        if self._third_crash_at is not None:
            self.metrics.known_after = self._now - self._third_crash_at
        if not known:
            self.later((0.01, 0.01), self._poll_knowledge)

    # Reports go to the group's leader, then to all groups and all daemons.

    def _report(self, daemon: Daemon, facts: list[Fact]) -> None:
        daemon.register.record_local(facts)
        if self._sharing is Sharing.NONE:
            return
        extra = 1.0 if self._fault is Fault.SLOW else 0.0
        received_at = max(
            self._now + self._random.uniform(*REPORT_DELAY),
            self._disconnected_until.get(daemon.group, 0.0),
        )
        for other in self._daemons:
            if other is daemon:
                continue
            delay = self._random.uniform(*UPDATE_DELAY)
            if other.group != daemon.group:
                delay += self._random.uniform(*UPDATE_DELAY)
            self.at(
                received_at + delay + extra,
                lambda to=other: to.register.record_reported(facts),  # type: ignore[misc]
            )


def make_fingerprint(name: str) -> Fingerprint:
    return Fingerprint(1, Digest(name.encode().ljust(16, b".")))


def simulate_seeds(
    seeds: int, daemons: int, groups: int, sharing: Sharing, fault: Fault
) -> list[Metrics]:
    return [
        Simulation(seed, daemons, groups, sharing, fault).run() for seed in range(seeds)
    ]


def describe(played: list[Metrics]) -> str:
    return (
        f"crashes mean {mean(each.ends for each in played):.2f} "
        f"most {max(each.ends for each in played)}; "
        f"late sends most {max(each.late_sends for each in played)}; "
        f"others refused {sum(each.others_refused for each in played)} "
        f"of {sum(each.others for each in played)}; "
        f"known after mean {mean(each.known_after for each in played):.2f} "
        f"most {max(each.known_after for each in played):.2f} s; "
        f"facts {mean(each.facts for each in played):.0f}"
    )


def main() -> None:
    logging.disable()
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    for daemons, groups in ((6, 3), (79, 3)):
        for sharing in Sharing:
            for fault in Fault:
                if sharing is Sharing.NONE and fault is not Fault.NONE:
                    continue
                played = simulate_seeds(seeds, daemons, groups, sharing, fault)
                print(f"{daemons} daemons, {sharing.value}, {fault.value}: ", end="")
                print(describe(played), flush=True)


if __name__ == "__main__":
    main()
