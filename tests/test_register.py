"""The register's rules for which request is to blame for crashes."""

from dataclasses import replace
from random import Random

import pytest

from kestreltally.decisions import COUNTS, Decision
from kestreltally.poison.facts import Clearing, Fact, Life, Sighting, make_clearing
from kestreltally.poison.fingerprints import Digest, Fingerprint
from kestreltally.poison.register import (
    ENDS_TO_STOP,
    INITIAL_STOP_TIME,
    MAX_SIGHTINGS,
    SETTLE_TIME,
    PoisonRegister,
)
from kestreltally.poison.suspects import SIGHTING_RETENTION
from tests.poisonsim import Fault, Sharing, play_seeds


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def name(text: str) -> Fingerprint:
    return Fingerprint(1, Digest(text.encode().ljust(16, b".")))


def see(
    text: str,
    life: str,
    sent: float,
    ended: float,
    *,
    answered: bool = False,
    witness: int = 1,
) -> Sighting:
    return Sighting(name(text), Life(life), sent, ended, answered, witness)


def see_ends(text: str, count: int = ENDS_TO_STOP, first: float = 990.0) -> list[Fact]:
    return [
        see(text, f"e{number}", first + number, first + number + 0.1)
        for number in range(count)
    ]


def make_register(facts: list[Fact]) -> tuple[PoisonRegister, Clock]:
    clock = Clock()
    register = PoisonRegister(clock)
    register.record_reported(facts)
    return register, clock


def test_only_who_saw_an_end_writes_a_line_of_a_suspicion() -> None:
    # Guards against about 30 lines in 0.6 s at each of six daemons, for innocent
    # requests.
    witness, other = PoisonRegister(Clock()), PoisonRegister(Clock())
    before = COUNTS[Decision.POISON_SUSPECTED]
    for fact in see_ends("x", 2):
        witness.record_local([fact])
        other.record_reported([fact])
    assert COUNTS[Decision.POISON_SUSPECTED] == before + 1


def is_stopped(register: PoisonRegister, text: str) -> bool:
    block = register.find_block(name(text).digest)
    return block is not None and block.settled


def test_three_ends_one_after_another_stop_a_request_for_a_true_time() -> None:
    register, clock = make_register(see_ends("bad", 2))
    assert register.find_block(name("bad").digest) is None
    register.record_reported(see_ends("bad"))
    held = register.find_block(name("bad").digest)
    assert held is not None and not held.settled
    assert held.wait == pytest.approx(SETTLE_TIME)
    clock.now += SETTLE_TIME
    stopped = register.find_block(name("bad").digest)
    assert stopped is not None and stopped.settled
    clock.now += stopped.wait - 0.01
    assert is_stopped(register, "bad")
    clock.now += 0.02
    assert register.find_block(name("bad").digest) is None
    # It may run then; if it crashes another engine it is stopped for twice as long.
    register.record_reported([see("bad", "e9", clock.now, clock.now + 0.1)])
    clock.now += 0.1 + SETTLE_TIME
    again = register.find_block(name("bad").digest)
    assert again is not None and again.settled
    assert again.wait == pytest.approx(2 * INITIAL_STOP_TIME - SETTLE_TIME)


def test_many_copies_at_one_moment_are_no_series() -> None:
    # A rack fails: each of its engines ran the request that all callers send.
    register, clock = make_register(
        [
            see("hot", f"e{number}", 999.0, 999.5 + number / 100, witness=number % 3)
            for number in range(8)
        ]
    )
    clock.now += SETTLE_TIME
    assert register.find_block(name("hot").digest) is None


def test_ends_close_together_count_where_one_daemon_dates_them() -> None:
    # The second send of the same daemon crashes the next engine some ms later.
    close = [(990.0, 990.02), (990.021, 990.04), (990.05, 990.06)]
    facts = [see("bad", f"e{n}", sent, ended) for n, (sent, ended) in enumerate(close)]
    register, clock = make_register(list(facts))
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad")
    others = [replace(each, witness=n) for n, each in enumerate(facts)]
    register, clock = make_register(list(others))
    clock.now += SETTLE_TIME
    assert not is_stopped(register, "bad")


def test_a_good_run_clears_what_was_before_and_not_what_comes_after() -> None:
    register, clock = make_register([*see_ends("hot")])
    clock.now += SETTLE_TIME
    assert is_stopped(register, "hot")
    register.record_reported([make_clearing(name("hot"), 995.0)])
    assert register.find_block(name("hot").digest) is None
    register.record_reported(
        [
            see("hot", f"f{number}", 996.0 + number, 996.1 + number)
            for number in range(3)
        ]
    )
    clock.now += SETTLE_TIME
    assert is_stopped(register, "hot")


def test_one_that_met_the_same_ends_by_chance_is_not_blamed() -> None:
    # Its client retries as well, and two of its answers had started.
    bystander = [
        see("by", f"e{number}", 989.9 + number, 990.1 + number, answered=number > 0)
        for number in range(3)
    ]
    register, clock = make_register([*bystander, *see_ends("bad")])
    clock.now += SETTLE_TIME
    register.evaluate()
    assert register.count() == {"suspected": 1.0, "stopped": 1.0}
    assert is_stopped(register, "bad")
    assert register.find_block(name("by").digest) is None


def test_what_was_at_more_ends_is_blamed_rather() -> None:
    bystander = [see("by", f"e{n}", 990.0 + n, 990.1 + n) for n in range(3)]
    register, clock = make_register([*bystander, *see_ends("bad", 4)])
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad") and not is_stopped(register, "by")


def test_facts_in_any_order_and_told_twice_give_the_same_verdict() -> None:
    facts: list[Fact] = [*see_ends("bad", 5), *see_ends("ok", 4)]
    facts.append(make_clearing(name("ok"), 994.5))
    for seed in range(50):
        drawn = Random(seed).choices(facts, k=40) + Random(seed).sample(
            facts, len(facts)
        )
        register, clock = make_register(drawn)
        clock.now += SETTLE_TIME
        assert is_stopped(register, "bad") and not is_stopped(register, "ok")
        assert len(register.fact_log.list_since(0)) <= len(facts)


def test_each_fact_is_told_once_and_own_ones_until_they_are_heard() -> None:
    register, _ = make_register([])
    facts = see_ends("bad")
    register.record_local(facts)
    assert register.fact_log.list_unconfirmed() == facts
    assert register.fact_log.list_since(0) == facts
    assert register.fact_log.list_since(1) == facts[1:]
    register.fact_log.record_echo(facts[:2])
    assert register.fact_log.list_unconfirmed() == facts[2:]
    register.fact_log.start_reporting()
    assert register.fact_log.list_unconfirmed() == facts


def test_a_leader_heard_anew_gets_what_it_does_not_tell_whoever_saw_it() -> None:
    facts = see_ends("bad", 4)
    register, _ = make_register(facts[1:])
    register.record_local(facts[:1])
    register.fact_log.start_reporting()
    assert register.fact_log.list_unconfirmed() == facts[:1]
    register.fact_log.record_echo(facts[:2])
    register.fact_log.report_remaining()
    assert register.fact_log.list_unconfirmed() == facts[2:]


def test_a_flood_fills_no_memory_and_pushes_out_nothing_that_is_known() -> None:
    register, clock = make_register(see_ends("bad"))
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad")
    flood = 2 * MAX_SIGHTINGS
    for number in range(flood):
        register.record_reported([see(f"odd{number}", f"x{number}", 1000.0, 1000.1)])
    assert is_stopped(register, "bad")
    assert register.count()["suspected"] <= MAX_SIGHTINGS
    clock.now += SIGHTING_RETENTION
    register.prune_old()
    assert register.count() == {"suspected": 0.0, "stopped": 0.0}


def test_an_operator_pardons_by_what_lines_show() -> None:
    register, clock = make_register(see_ends("bad"))
    clock.now += SETTLE_TIME
    assert is_stopped(register, "bad")
    assert register.pardon("00") == 0
    assert register.pardon(str(name("bad"))) == 1
    assert register.find_block(name("bad").digest) is None
    # The other daemons are informed.
    assert isinstance(register.fact_log.list_unconfirmed()[0], Clearing)


@pytest.mark.parametrize("fault", list(Fault), ids=lambda each: each.name.lower())
def test_all_daemons_stop_it_in_time_whatever_befalls_the_word(
    fault: Fault,
) -> None:
    # Run tests/poisonsim.py for 200 seeds of each.
    for metrics in play_seeds(6, 6, 3, Sharing.LEADERS, fault):
        assert metrics.late_sends <= 3 and metrics.ends <= ENDS_TO_STOP + 2
        assert metrics.others_refused == 0 and metrics.others > 500


def test_daemons_that_tell_nothing_do_not_stop_it() -> None:
    assert all(
        metrics.late_sends > 3
        for metrics in play_seeds(3, 6, 3, Sharing.NONE, Fault.NONE)
    )
