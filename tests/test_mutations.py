"""Each mutation must be caught by a check."""

import pytest

from tests.mutations import MUTATIONS, Mutation, run_mutation


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda each: each.name)
def test_mutation_is_caught(mutation: Mutation) -> None:
    _, problem = run_mutation(mutation)
    assert mutation.expected_problem in problem and problem
