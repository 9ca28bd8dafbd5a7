"""The register's rules for which request is to blame for crashes."""

from dataclasses import replace
from random import Random

import pytest

from kestreltally.decisions import COUNTS, Decision
from kestreltally.poison.facts import (
    Clearing,
    Fact,
    IncarnationName,
    Sighting,
    make_clearing,
)
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.poison.register import (
    CRASHES_TO_STOP,
    INITIAL_STOP_TIME,
    MAX_SIGHTINGS,
    SETTLE_TIME,
    PoisonRegister,
)
from kestreltally.poison.suspects import SIGHTING_RETENTION
from tests.poisonsim import Fault, Sharing, simulate_seeds


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def make_fingerprint(text: str) -> Fingerprint:
    return Fingerprint(1, Digest(text.encode().ljust(16, b".")))


def make_sighting(
    text: str,
    incarnation: str,
    sent: float,
    ended: float,
    *,
    answered: bool = False,
    witness: int = 1,
) -> Sighting:
    return Sighting(
        make_fingerprint(text),
        IncarnationName(incarnation),
        sent,
        ended,
        answered,
        witness,
    )


def make_sightings(
    text: str, count: int = CRASHES_TO_STOP, first: float = 990.0
) -> list[Fact]:
    return [
        make_sighting(text, f"e{number}", first + number, first + number + 0.1)
        for number in range(count)
    ]


def make_register(facts: list[Fact]) -> tuple[PoisonRegister, Clock]:
    clock = Clock()
    register = PoisonRegister(clock)
    register.record_reported(facts)
    return register, clock


def test_only_the_witness_of_a_crash_logs_a_suspicion() -> None:
    # Guards against about 30 lines in 0.6 s at each of six daemons, for innocent
    # requests.
    witness, other = PoisonRegister(Clock()), PoisonRegister(Clock())
    before = COUNTS[Decision.POISON_SUSPECTED]
    for fact in make_sightings("x", 2):
        witness.record_local([fact])
        other.record_reported([fact])
    assert COUNTS[Decision.POISON_SUSPECTED] == before + 1


def is_stopped(register: PoisonRegister, text: str) -> bool:
    block = register.find_block(make_fingerprint(text).digest)
    return block is not None and block.settled


def test_three_crashes_in_sequence_stop_a_request_for_the_reported_time() -> None:
    register, clock = make_register(make_sightings("bad", 2))
    assert register.find_block(make_fingerprint("bad").digest) is None
    register.record_reported(make_sightings("bad"))
    held = register.find_block(make_fingerprint("bad").digest)
    assert held is not None and not held.settled
    assert held.wait == pytest.approx(SETTLE_TIME)
    clock.now += SETTLE_TIME
    stopped = register.find_block(make_fingerprint("bad").digest)
    assert stopped is not None and stopped.settled
    clock.now += stopped.wait - 0.01
    assert is_stopped(register, "bad")
    clock.now += 0.02
    assert register.find_block(make_fingerprint("bad").digest) is None
    # It may run then; if it crashes another engine it is stopped for twice as long.
    register.record_reported([make_sighting("bad", "e9", clock.now, clock.now + 0.1)])
    clock.now += 0.1 + SETTLE_TIME
    again = register.find_block(make_fingerprint("bad").digest)
    assert again is not None and again.settled
    assert again.wait == pytest.approx(2 * INITIAL_STOP_TIME - SETTLE_TIME)


def test_concurrent_copies_of_a_request_count_as_one_crash() -> None:
    # A rack fails: each of its engines ran the request that all callers send.
    register, clock = make_register(
        [
            make_sighting(
                "hot", f"e{number}", 999.0, 999.5 + number / 100, witness=number % 3
            )
            for number in range(8)
        ]
    )
    clock.now += SETTLE_TIME
    assert register.find_block(make_fingerprint("hot").digest) is None


def test_crashes_close_together_count_if_one_daemon_dates_them() -> None:
    # The second send of the same daemon crashes the next engine some ms later.
    close = [(990.0, 990.02), (990.021, 990.04), (990.05, 990.06)]
    facts = [
        make_sighting("bad", f"e{n}", sent, ended)
        for n, (sent, ended) in enumerate(close)
    ]
    register, clock = make_register(list(facts))
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad")
    others = [replace(each, witness=n) for n, each in enumerate(facts)]
    register, clock = make_register(list(others))
    clock.now += SETTLE_TIME
    assert not is_stopped(register, "bad")


def test_a_successful_run_clears_earlier_sightings_only() -> None:
    register, clock = make_register([*make_sightings("hot")])
    clock.now += SETTLE_TIME
    assert is_stopped(register, "hot")
    register.record_reported([make_clearing(make_fingerprint("hot"), 995.0)])
    assert register.find_block(make_fingerprint("hot").digest) is None
    register.record_reported(
        [
            make_sighting("hot", f"f{number}", 996.0 + number, 996.1 + number)
            for number in range(3)
        ]
    )
    clock.now += SETTLE_TIME
    assert is_stopped(register, "hot")


def test_a_bystander_at_the_same_crashes_is_not_blamed() -> None:
    # Its client retries as well, and two of its answers had started.
    bystander = [
        make_sighting(
            "by", f"e{number}", 989.9 + number, 990.1 + number, answered=number > 0
        )
        for number in range(3)
    ]
    register, clock = make_register([*bystander, *make_sightings("bad")])
    clock.now += SETTLE_TIME
    register.evaluate()
    assert register.count() == {"suspected": 1.0, "stopped": 1.0}
    assert is_stopped(register, "bad")
    assert register.find_block(make_fingerprint("by").digest) is None


def test_the_request_at_more_crashes_is_blamed() -> None:
    bystander = [make_sighting("by", f"e{n}", 990.0 + n, 990.1 + n) for n in range(3)]
    register, clock = make_register([*bystander, *make_sightings("bad", 4)])
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad") and not is_stopped(register, "by")


def test_order_and_duplicates_of_facts_do_not_change_the_verdict() -> None:
    facts: list[Fact] = [*make_sightings("bad", 5), *make_sightings("ok", 4)]
    facts.append(make_clearing(make_fingerprint("ok"), 994.5))
    for seed in range(50):
        drawn = Random(seed).choices(facts, k=40) + Random(seed).sample(
            facts, len(facts)
        )
        register, clock = make_register(drawn)
        clock.now += SETTLE_TIME
        assert is_stopped(register, "bad") and not is_stopped(register, "ok")
        assert len(register.fact_log.list_since(0)) <= len(facts)


def test_local_facts_are_reported_until_echoed() -> None:
    register, _ = make_register([])
    facts = make_sightings("bad")
    register.record_local(facts)
    assert register.fact_log.list_unconfirmed() == facts
    assert register.fact_log.list_since(0) == facts
    assert register.fact_log.list_since(1) == facts[1:]
    register.fact_log.record_echo(facts[:2])
    assert register.fact_log.list_unconfirmed() == facts[2:]
    register.fact_log.start_reporting()
    assert register.fact_log.list_unconfirmed() == facts


def test_a_newly_connected_leader_gets_all_facts_it_lacks() -> None:
    facts = make_sightings("bad", 4)
    register, _ = make_register(facts[1:])
    register.record_local(facts[:1])
    register.fact_log.start_reporting()
    assert register.fact_log.list_unconfirmed() == facts[:1]
    register.fact_log.record_echo(facts[:2])
    register.fact_log.report_remaining()
    assert register.fact_log.list_unconfirmed() == facts[2:]


def test_a_flood_of_facts_is_bounded_and_evicts_no_stopped_request() -> None:
    register, clock = make_register(make_sightings("bad"))
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad")
    flood = 2 * MAX_SIGHTINGS
    for number in range(flood):
        register.record_reported(
            [make_sighting(f"odd{number}", f"x{number}", 1000.0, 1000.1)]
        )
    assert is_stopped(register, "bad")
    assert register.count()["suspected"] <= MAX_SIGHTINGS
    clock.now += SIGHTING_RETENTION
    register.prune_old()
    assert register.count() == {"suspected": 0.0, "stopped": 0.0}


def test_an_operator_pardons_by_the_logged_digest() -> None:
    register, clock = make_register(make_sightings("bad"))
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad")
    assert register.pardon("00") == 0
    assert register.pardon(str(make_fingerprint("bad"))) == 1
    assert register.find_block(make_fingerprint("bad").digest) is None
    # The other daemons are informed.
    assert isinstance(register.fact_log.list_unconfirmed()[0], Clearing)


@pytest.mark.parametrize("fault", list(Fault), ids=lambda each: each.name.lower())
def test_all_daemons_stop_it_in_time_under_each_fault(
    fault: Fault,
) -> None:
    # Run tests/poisonsim.py for 200 seeds of each.
    for metrics in simulate_seeds(6, 6, 3, Sharing.LEADERS, fault):
        assert metrics.late_sends <= 3 and metrics.ends <= CRASHES_TO_STOP + 2
        assert metrics.others_refused == 0 and metrics.others > 500


def test_daemons_that_share_nothing_do_not_stop_it() -> None:
    assert all(
        metrics.late_sends > 3
        for metrics in simulate_seeds(3, 6, 3, Sharing.NONE, Fault.NONE)
    )
