"""Which endpoint read the long parts of prompts lately."""

from collections import OrderedDict
from typing import Final

from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import EndpointId, WeightsKey

AFFINITY_ROWS: Final = 4_096
# Parts of a prompt shorter than this are read anew in a few ms.
AFFINITY_TOKENS: Final = 512


class Affinity:
    """Remembers which endpoint read the long parts of prompts lately."""

    def __init__(self) -> None:
        self._read_at: OrderedDict[tuple[WeightsKey, str], EndpointId] = OrderedDict()

    def known_part(
        self, request: ClientRequest, key: WeightsKey, at: EndpointId
    ) -> float:
        """Return which part of a request's prompt an endpoint has read before."""
        known = 0
        for part in request.head.parts:
            if self._read_at.get((key, part.id)) != at:
                break
            known += part.tokens
        return known / max(1, request.head.prompt_tokens)

    def record(self, request: ClientRequest, key: WeightsKey, at: EndpointId) -> None:
        """Remember where a request's prompt is read."""
        if request.head.prompt_tokens < AFFINITY_TOKENS:
            return
        for part in request.head.parts:
            self._read_at[(key, part.id)] = at
            self._read_at.move_to_end((key, part.id))
        while len(self._read_at) > AFFINITY_ROWS:
            self._read_at.popitem(last=False)
