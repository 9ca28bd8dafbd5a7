"""Rendezvous hashing: all daemons make the same choice without coordination.

Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def score(subject: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a subject."""
    return xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def choose_owner(subject: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score, or None without candidates."""
    return max(candidates, key=lambda each: (score(subject, each), each), default=None)


def rank_owners(subject: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, highest score first."""
    return sorted(
        candidates,
        key=lambda each: (score(subject, each), each),
        reverse=True,
    )
