"""Names of the parts of prompts that requests share.

A part is known by its service and its id, a number in hex; the last part of a prompt
belongs to its request alone. Messages, logs and the store hold digests under the secret
of all daemons, never a caller's id.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from hashlib import blake2b
from typing import Final, NamedTuple

from kestreltally.fleet.model import ServiceName
from kestreltally.platform.headers import PromptPart
from kestreltally.poison.fingerprints import DIGEST_BYTES, Digest, Fingerprint

# The outline of the fingerprints of parts; those of requests are not negative.
PART_OUTLINE: Final = -1
# A prompt may have more shared parts; those beyond are neither blamed nor cleared.
MAX_PARTS: Final = 64
MAX_DIGESTS: Final = 8_192
MAX_INNOCENT_PARTS: Final = 8_192


class PartName(NamedTuple):
    """A part of the prompts of a service; two spellings of an id are one."""

    service: ServiceName
    id: int | str


def list_shared_parts(prompt: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return a prompt's parts but the last."""
    return prompt[: min(len(prompt) - 1, MAX_PARTS)] if prompt else ()


def list_names(
    service: ServiceName, parts: Iterable[PromptPart]
) -> tuple[PartName, ...]:
    """Return the names of parts, each once."""
    return tuple({PartName(service, _read_id(each.id)): None for each in parts})


def _read_id(text: str) -> int | str:
    try:
        return int(text, 16)
    except ValueError:
        return text


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a fingerprint is of a part, not of a request."""
    return fingerprint.outline == PART_OUTLINE


class PartDigests:
    """The fingerprints of parts under a secret, the latest of them kept."""

    def __init__(self) -> None:
        self._secret = b""
        self._known: OrderedDict[PartName, Fingerprint] = OrderedDict()

    def compute(self, name: PartName, secret: bytes) -> Fingerprint:
        """Return the fingerprint of a part."""
        if secret != self._secret:
            self._secret = secret
            self._known.clear()
        known = self._known.get(name)
        if known is None:
            content = f"part\0{name.service}\0{name.id}"
            digest = blake2b(
                content.encode("utf-8", "surrogateescape"),
                key=secret,
                digest_size=DIGEST_BYTES,
            )
            known = Fingerprint(PART_OUTLINE, Digest(digest.digest()))
            self._known[name] = known
            if len(self._known) > MAX_DIGESTS:
                self._known.popitem(last=False)
        return known


class InnocentParts:
    """The parts of which an answer was completed here, the latest of them.

    Such a part crashes no engine, so it needs no suspicion at a crash. Ids are compared
    as clients spell them: this runs for each request.
    """

    def __init__(self) -> None:
        self._parts: OrderedDict[tuple[ServiceName, str], None] = OrderedDict()

    def add(self, service: ServiceName, parts: Iterable[PromptPart]) -> None:
        """Record the parts of a request whose answer was completed."""
        for each in parts:
            self._parts[service, each.id] = None
            self._parts.move_to_end((service, each.id))
        while len(self._parts) > MAX_INNOCENT_PARTS:
            self._parts.popitem(last=False)

    def list_others(
        self, service: ServiceName, parts: Iterable[PromptPart]
    ) -> Iterator[PromptPart]:
        """Yield those parts of which no answer was completed here."""
        return (each for each in parts if (service, each.id) not in self._parts)
