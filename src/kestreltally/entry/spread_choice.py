"""A chooser that keeps many daemons from running to the same endpoint at once.

What a daemon knows of the requests of others is 0.1 to 0.3 s old. If all take the
endpoint of least cost by that, they overload it together until the next totals. The
cheaper one of two random options is not always the same, and still avoids the worst.
"""

import random
from collections.abc import Sequence
from typing import Final

from kestreltally.entry.choice import (
    QUEUE_PENALTY,
    Option,
    compute_cost,
    register_chooser,
)
from kestreltally.fleet.model import Seconds

SPREAD: Final = "spread"
# An option that costs more than a wait in a full batch is not left to chance.
MAX_MORE_COST: Final[Seconds] = QUEUE_PENALTY
# Nor is one that makes an endpoint read this many tokens that another has cached.
MAX_MORE_TOKENS: Final = 256
DRAWN: Final = 2


def list_comparable(options: Sequence[Option]) -> list[Option]:
    """Return the options that differ from that of least cost in their load only."""
    costs = [compute_cost(each) for each in options]
    least_cost = min(costs)
    least = options[costs.index(least_cost)]
    tokens = least.work.uncached_tokens + MAX_MORE_TOKENS
    return [
        each
        for each, cost in zip(options, costs, strict=True)
        if cost <= least_cost + MAX_MORE_COST
        and each.remote <= least.remote
        and each.work.uncached_tokens <= tokens
    ]


@register_chooser(SPREAD)
def choose_spread(options: Sequence[Option]) -> Option:
    """Return the cheaper of two random options; chance breaks ties.

    Requests without a prompt are short, and all options are compared for them.
    """
    comparable = list_comparable(options)
    has_prompt = any(each.work.uncached_tokens for each in comparable)
    drawn = min(len(comparable), DRAWN if has_prompt else len(comparable))
    return min(random.sample(comparable, drawn), key=compute_cost)
