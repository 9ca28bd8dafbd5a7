"""Decides what to do about held bytes, as a pure function of who holds how many.

A daemon holds request bodies, and answers that were received from endpoints and not
yet sent. While there is room it reads ahead of slow clients, because an endpoint cuts
off an answer that nobody reads. Each answer may hold a fraction of what is free (the
dynamic thresholds of shared-memory switches, Choudhury and Hahne, 1998): few may hold
much, many hold little, and something always stays free for the next. Answers that hold
more are not read on. Those that their clients have stopped reading are ended only when
that does not suffice.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from kestreltally.fleet.model import Seconds

# The fraction of the machine's memory that may be held. A byte may exist a second time
# while it is copied, and the process itself needs the rest.
MEMORY_FRACTION: Final = 0.2
# The fraction of the limit that answers fill by reading ahead, and the fraction of what
# is free of it that one answer may hold. The rest is for request bodies and for the
# bytes that are received before a source is paused.
AHEAD_FRACTION: Final = 0.5
SHARE_FRACTION: Final = 1 / 32
# The fraction of the limit from which unread answers and requests are ended.
END_FRACTION: Final = 0.75
# A client on a slow link takes something more often than this. One that is gone may
# take nothing for as long as its connection lasts.
UNREAD_TIMEOUT: Final[Seconds] = 5.0


@dataclass(frozen=True, slots=True)
class Held:
    """The bytes that are held for one exchange, in one direction.

    ``answer`` is the part of ``size`` that belongs to an answer. ``stalled_for`` is the
    time since the receiver last took a byte, 0 if none waits.
    """

    key: int
    size: int
    answer: int = 0
    stalled_for: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Relief:
    """What to do: ``share`` is the number of bytes that each answer may hold.

    The sources of ``paused`` are not read, and ``ended`` are cut off, in this order.
    """

    share: int
    paused: frozenset[int] = frozenset()
    ended: tuple[int, ...] = ()


def compute_limit(memory: int) -> int:
    """Return how many bytes may be held on a machine, 0 if its memory is unknown."""
    return int(MEMORY_FRACTION * memory)


def compute_share(total: int, limit: int) -> int:
    """Return how many bytes one answer may hold, given the bytes held by all."""
    return max(0, int(SHARE_FRACTION * (AHEAD_FRACTION * limit - total)))


def decide_relief(held: Sequence[Held], limit: int) -> Relief:
    """Return which sources to pause and which exchanges to end, to stay in a limit."""
    total = sum(each.size for each in held)
    share = compute_share(total, limit)
    paused = frozenset(each.key for each in held if each.answer > share)
    return Relief(share, paused, _list_ended(held, total - END_FRACTION * limit))


def _list_ended(held: Sequence[Held], excess: float) -> tuple[int, ...]:
    """Return the stalled exchanges, longest first, that hold the excess."""
    stalled = [
        each for each in held if each.size and each.stalled_for >= UNREAD_TIMEOUT
    ]
    ended = []
    for each in sorted(stalled, key=lambda each: -each.stalled_for):
        if excess <= 0:
            break
        ended.append(each.key)
        excess -= each.size
    return tuple(ended)
