"""Rendezvous hashing: the same choice everywhere, with no coordination.

Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def score(subject: str, candidate: str) -> int:
    """Return the weight of a candidate for a subject."""
    return xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def choose_owner(subject: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate of the highest weight, or none of none."""
    return max(candidates, key=lambda each: (score(subject, each), each), default=None)


def rank_owners(subject: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, highest weight first."""
    return sorted(
        candidates,
        key=lambda each: (score(subject, each), each),
        reverse=True,
    )
