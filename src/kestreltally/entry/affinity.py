"""Which endpoint read the long parts of prompts lately."""

from collections import OrderedDict
from typing import Final

from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import EndpointId, WeightsKey

MAX_AFFINITY_ENTRIES: Final = 4_096
# Parts of a prompt shorter than this are read anew in a few ms.
MIN_AFFINITY_TOKENS: Final = 512


class Affinity:
    """Remembers which endpoint read the long parts of prompts lately."""

    def __init__(self) -> None:
        self._processed_by: OrderedDict[tuple[WeightsKey, str], EndpointId] = (
            OrderedDict()
        )

    def compute_cached_fraction(
        self, request: ClientRequest, key: WeightsKey, at: EndpointId
    ) -> float:
        """Return which part of a request's prompt an endpoint has read before."""
        cached = 0
        for part in request.head.parts:
            if self._processed_by.get((key, part.id)) != at:
                break
            cached += part.tokens
        return cached / max(1, request.head.prompt_tokens)

    def record(self, request: ClientRequest, key: WeightsKey, at: EndpointId) -> None:
        """Remember where a request's prompt is read."""
        if request.head.prompt_tokens < MIN_AFFINITY_TOKENS:
            return
        for part in request.head.parts:
            self._processed_by[(key, part.id)] = at
            self._processed_by.move_to_end((key, part.id))
        while len(self._processed_by) > MAX_AFFINITY_ENTRIES:
            self._processed_by.popitem(last=False)
