"""Simulated credit issuers keep a limit across lease changes."""

import pytest

from tests.issuersim import Simulation
from tests.windows import compute_allowed


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("daemons", [6, 79])
@pytest.mark.parametrize("limit", [2.9, 8.0])
def test_issuers_keep_a_limit_across_lease_changes(
    daemons: int, limit: float, seed: int
) -> None:
    # Guards against two issuers of the whole limit, and against fractions that add up
    # to more than the limit.
    simulation = Simulation(seed, daemons, limit).run()
    assert simulation.max_in_window <= compute_allowed(limit)


def test_whole_limit_is_issued_without_faults() -> None:
    assert Simulation(1, 6, 8.0, with_faults=False).run().used_fraction > 0.85
