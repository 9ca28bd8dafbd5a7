"""Deterministic answers of the stand-in engine, by adapter, version and prompt."""

from hashlib import sha256
from typing import Final

WORDS: Final = [
    "points",
    "balance",
    "redeem",
    "accrue",
    "partner",
    "member",
    "till",
    "summary",
    "chapter",
    "morning",
    "news",
    "call",
    "listen",
    "tap",
    "answer",
    "rule",
    "price",
    "fuel",
    "flight",
    "store",
    "receipt",
    "date",
]


def make_token(adapter_version: str, prompt: str, position: int) -> int:
    """Return the token id at a position of the answer."""
    digest = sha256(f"{adapter_version}\0{prompt}\0{position}".encode()).digest()
    return int.from_bytes(digest[:4], "big") % len(WORDS)


def make_answer(adapter_version: str, prompt: str, length: int) -> str:
    """Return the complete expected answer, for checks by callers."""
    tokens = (make_token(adapter_version, prompt, at) for at in range(length))
    return "".join(f" {WORDS[token]}" for token in tokens)
