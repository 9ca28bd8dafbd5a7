"""The names by which daemons tell streams apart."""

from hashlib import blake2b
from typing import Final, NewType

from kestreltally.fleet.model import OrganisationName

# Identifies a stream among all that clients may take up at the same time.
StreamName = NewType("StreamName", bytes)

NAME_BYTES: Final = 12
SEPARATOR: Final = b"\0"


def make_stream_name(
    organisation: OrganisationName | None, host: str, path: str, request_id: str
) -> StreamName:
    """Return the name of the stream that a request began.

    Clients choose the ids of their requests, so those of two organisations, or on two
    paths, may be equal.
    """
    parts = (organisation or "", host, path, request_id)
    digest = blake2b(digest_size=NAME_BYTES)
    for part in parts:
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(SEPARATOR)
    return StreamName(digest.digest())
