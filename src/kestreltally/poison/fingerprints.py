"""Recognizes repeated requests by path, caller and body without storing any of them.

A repeated request has another id and remaining time, and may name a position to resume
from. None of these is part of the fingerprint.
"""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, NewType
from zlib import crc32

from kestreltally.entry.request import ClientRequest

# A digest keyed with a secret that all daemons share: it reveals nothing about a body
# to readers of logs or messages.
Digest = NewType("Digest", bytes)

DIGEST_BYTES: Final = 16
SECRET_BYTES: Final = 16
# Length of the logged prefix: enough to see that two lines are of one request.
SHOWN_BYTES: Final = 8
SEPARATOR: Final = b"\0"


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """Identifies a request.

    ``outline`` depends on the path and the body's length only and takes less than 1 µs
    whatever the body. The body is digested only if a suspect has the same outline.
    """

    outline: int
    digest: Digest

    def __str__(self) -> str:
        return self.digest[:SHOWN_BYTES].hex()


def make_outline(request: ClientRequest) -> int:
    """Return a checksum of a request's path and body length."""
    return crc32(f"{request.path} {len(request.body)}".encode())


def make_fingerprint(request: ClientRequest, secret: bytes) -> Fingerprint:
    """Return the fingerprint of a request under a secret of ``SECRET_BYTES``."""
    digest = blake2b(key=secret, digest_size=DIGEST_BYTES)
    for part in (
        request.route.host,
        request.method,
        request.path,
        request.organisation_name or "",
    ):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(SEPARATOR)
    digest.update(request.body)
    return Fingerprint(make_outline(request), Digest(digest.digest()))
