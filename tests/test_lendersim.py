"""Whoever lends, in virtual time: a limit holds as leases change hands."""

import pytest

from tests.lendersim import Play
from tests.windows import count_allowed


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("daemons", [6, 79])
@pytest.mark.parametrize("limit", [2.9, 8.0])
def test_lenders_keep_a_limit_as_leases_change_hands(
    daemons: int, limit: float, seed: int
) -> None:
    # Guards against two who lend all of a limit, and parts that add up beyond it.
    played = Play(seed, daemons, limit).run()
    assert played.most <= count_allowed(limit)


def test_all_of_a_limit_is_lent_where_nothing_is_amiss() -> None:
    assert Play(1, 6, 8.0, trouble=False).run().used > 0.85
