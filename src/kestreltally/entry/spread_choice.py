"""A chooser that keeps many daemons from running to the same endpoint at once.

What a daemon knows of the requests of others is 0.1 to 0.3 s old. If all take the
endpoint of least cost by that, they overload it together. Among options whose costs
differ by less than what may have changed since, the choice is therefore random.
"""

import random
from collections.abc import Sequence
from typing import Final

from kestreltally.entry.choice import Option, compute_cost, register_chooser
from kestreltally.fleet.model import Seconds

SPREAD: Final = "spread"
# Prompts of 4,000 tokens may have come unseen, so costs that differ by less than their
# prefill are as good as equal.
NEAR_MARGIN: Final[Seconds] = 0.1
# Requests without a prompt are short; only equal costs are left to chance.
TIE_MARGIN: Final[Seconds] = 0.01
# Chance does not make an endpoint read more than this many tokens again that another
# one has cached.
MAX_MORE_TOKENS: Final = 256


def list_near(options: Sequence[Option]) -> list[Option]:
    """Return the options that are about as good as the one of least cost."""
    costs = [compute_cost(each) for each in options]
    least_cost, index = min((cost, index) for index, cost in enumerate(costs))
    tokens = options[index].work.uncached_tokens
    limit = least_cost + (NEAR_MARGIN if tokens else TIE_MARGIN)
    return [
        each
        for each, cost in zip(options, costs, strict=True)
        if cost <= limit and each.work.uncached_tokens <= tokens + MAX_MORE_TOKENS
    ]


@register_chooser(SPREAD)
def choose_spread(options: Sequence[Option]) -> Option:
    """Return any of the options that are about as good as the one of least cost."""
    return random.choice(list_near(options))
