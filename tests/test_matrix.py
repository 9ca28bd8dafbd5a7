"""A sample of the fault matrix; ``make matrix`` runs all cells."""

import pytest

from tests.matrix import Cell, list_cells, run_cell

EVERY = 23
SLOW_CELLS = [
    Cell("permit granted", "kill leader", token_time=1.0),
    Cell("request sent", "freeze leader", token_time=1.0),
]


@pytest.mark.parametrize(
    "cell",
    list_cells()[::EVERY] + SLOW_CELLS,
    ids=lambda cell: f"{cell.step} / {cell.fault}",
)
def test_cell_holds(cell: Cell) -> None:
    result = run_cell(cell)
    assert result.reached
    assert result.problems == ()
