"""Knows a request again by its path, caller and body, and keeps none of the three.

A request that comes again has another id, another time left, and may name a place to
resume from; none of these is part of what is compared.
"""

from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, NewType
from zlib import crc32

from kestreltally.entry.request import ClientRequest

# A digest under a secret that all daemons share: it tells nothing of a body to who
# reads it in a line or a message.
Digest = NewType("Digest", bytes)

DIGEST_BYTES: Final = 16
SECRET_BYTES: Final = 16
# So much of a digest is logged: enough to see that two lines are of one request.
SHOWN_BYTES: Final = 8
SEPARATOR: Final = b"\0"


@dataclass(frozen=True, slots=True)
class Fingerprint:
    """What a request is known by.

    ``outline`` is made of its path and its body's length alone, in under 1 µs whatever
    the body: a body is read only where the outline is that of a suspect.
    """

    outline: int
    digest: Digest

    def __str__(self) -> str:
        return self.digest[:SHOWN_BYTES].hex()


def make_outline(request: ClientRequest) -> int:
    """Return a number that all requests of the same path and length have."""
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
