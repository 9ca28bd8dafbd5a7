"""Which daemons keep a stream's origin: rendezvous hashing, spread over data centres.

The daemon that begins a stream tells the first ones of a ranking by the stream's name,
and the one that takes it up asks the first ones. Where the two know of different
daemons, their rankings differ in those only, so most of the first ones are the same:
Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

from kestreltally.deployment import SocketAddress
from kestreltally.streams.names import StreamName

SCORE_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class Registrar:
    """A daemon that may keep origins of streams, and its address for datagrams."""

    address: SocketAddress
    data_centre: str

    @property
    def label(self) -> bytes:
        """Return what distinguishes the daemon from all others."""
        return f"{self.address.host}:{self.address.port}".encode()


def rank_registrars(
    name: StreamName, registrars: Iterable[Registrar]
) -> list[Registrar]:
    """Return daemons in the order in which they keep a stream's origin.

    One of each data centre comes first, then a second one of each, and so on: the loss
    of a data centre leaves the others.
    """
    scored = [(_compute_score(name + each.label), each) for each in registrars]
    scored.sort(key=lambda pair: pair[0], reverse=True)
    counts: dict[str, int] = defaultdict(int)
    ranked: list[tuple[int, Registrar]] = []
    for _, registrar in scored:
        ranked.append((counts[registrar.data_centre], registrar))
        counts[registrar.data_centre] += 1
    ranked.sort(key=lambda pair: pair[0])
    return [registrar for _, registrar in ranked]


def choose_lowest(registrars: Iterable[Registrar], count: int) -> list[Registrar]:
    """Return a part of the daemons that changes little as daemons come and go."""
    ordered = sorted(registrars, key=lambda each: _compute_score(each.label))
    return ordered[:count]


def _compute_score(content: bytes) -> bytes:
    return blake2b(content, digest_size=SCORE_BYTES).digest()
