"""Many daemons that choose among engines with totals that are 0.2 s old."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from kestreltally.entry.choice import Option
from kestreltally.estimates.prefill import PrefillWork
from kestreltally.fleet.model import Endpoint, EndpointId
from tests.entryrig import MODELS

TOKEN_TIME = 1 / 40_000
TOTALS_AGE = 0.2
SLOTS = 32
STREAM_TIME = 1.0


@dataclass(frozen=True)
class Load:
    """Requests per second over all daemons; each may go to ``choices`` engines."""

    rate: float
    tokens: int = 2_900
    daemons: int = 60
    engines: int = 20
    choices: int = 4
    seconds: float = 20.0
    slowness: Mapping[int, float] = field(default_factory=dict)
    known: bool = True
    pause: tuple[float, float, float] = (0.0, 0.0, 1.0)


@dataclass
class Result:
    sent: list[int]
    delays: list[float]

    @property
    def busiest(self) -> float:
        return max(self.sent) * len(self.sent) / sum(self.sent)

    def quantile(self, fraction: float) -> float:
        return sorted(self.delays)[int(fraction * len(self.delays))]


class Engine:
    """Reads prompts one after another; a stream then runs for STREAM_TIME."""

    def __init__(self, slowness: float) -> None:
        self.slowness = slowness
        self.free_at = 0.0
        self.running: list[tuple[float, float, int, int]] = []

    def send(self, now: float, tokens: int, daemon: int, factor: float) -> float:
        took = tokens * TOKEN_TIME * self.slowness * factor
        self.free_at = max(now, self.free_at) + took
        end = self.free_at + STREAM_TIME * self.slowness * factor
        self.running.append((self.free_at, end, tokens, daemon))
        return self.free_at - now

    def measure(self, now: float, daemon: int | None) -> tuple[int, int]:
        self.running = [each for each in self.running if each[1] > now]
        mine = [e for e in self.running if daemon is None or e[3] == daemon]
        return len(mine), sum(e[2] for e in mine if e[0] > now)


def play(
    load: Load, choose: Callable[[Sequence[Option]], Option], seed: int = 1
) -> Result:
    """Return how the requests were spread and how long their first events took."""
    rng = random.Random(seed)
    # Choosers draw from the common generator.
    random.seed(seed)
    engines = [Engine(load.slowness.get(i, 1.0)) for i in range(load.engines)]
    rows = [
        Endpoint(EndpointId(f"e{i}"), MODELS, "h", 1, "n", SLOTS, False, {})
        for i in range(load.engines)
    ]
    result = Result([0] * load.engines, [])
    now, measured_at = 0.0, -1.0
    totals: list[tuple[int, int]] = []
    own: dict[tuple[int, int], tuple[int, int]] = {}
    while now < load.seconds:
        now += rng.expovariate(load.rate)
        if now - measured_at >= TOTALS_AGE:
            measured_at = now
            totals = [each.measure(now, None) for each in engines]
            own = {}
            for i, each in enumerate(engines):
                for daemon in {e[3] for e in each.running}:
                    own[(i, daemon)] = each.measure(now, daemon)
        daemon = rng.randrange(load.daemons)
        options = []
        for i in rng.sample(range(load.engines), load.choices):
            was = own.get((i, daemon), (0, 0))
            mine = engines[i].measure(now, daemon)
            in_flight = totals[i][0] - was[0] + mine[0]
            queued = totals[i][1] - was[1] + mine[1]
            factor = engines[i].slowness if load.known else 1.0
            delay = 0.02 + TOKEN_TIME * factor * (load.tokens + queued)
            work = PrefillWork(load.tokens, queued, 0)
            options.append(Option(rows[i], in_flight, False, work, delay))
        options.sort(key=lambda each: each.endpoint.id)
        chosen = rows.index(choose(options).endpoint)
        begins, ends, slower = load.pause
        factor = slower if begins <= now < ends and chosen == 0 else 1.0
        result.sent[chosen] += 1
        result.delays.append(engines[chosen].send(now, load.tokens, daemon, factor))
    return result
