"""Tracks which endpoint recently processed which long prompt prefixes."""

from collections import OrderedDict
from typing import Final

from kestreltally.entry.request import ClientRequest
from kestreltally.fleet.model import EndpointId, WeightsKey

MAX_AFFINITY_ENTRIES: Final = 4_096
# Shorter prompts are not tracked: processing them again takes a few ms.
MIN_AFFINITY_TOKENS: Final = 512


class Affinity:
    """Maps recent prompt parts to the endpoint that processed them last.

    The least recently recorded entries are evicted first.
    """

    def __init__(self) -> None:
        self._processed_by: OrderedDict[tuple[WeightsKey, str], EndpointId] = (
            OrderedDict()
        )

    def compute_cached_fraction(
        self, request: ClientRequest, key: WeightsKey, endpoint: EndpointId
    ) -> float:
        """Return the fraction of a request's prompt that an endpoint has processed."""
        cached = 0
        for part in request.head.parts:
            if self._processed_by.get((key, part.id)) != endpoint:
                break
            cached += part.tokens
        return cached / max(1, request.head.prompt_tokens)

    def record(
        self, request: ClientRequest, key: WeightsKey, endpoint: EndpointId
    ) -> None:
        """Record that an endpoint processes a request's prompt."""
        if request.head.prompt_tokens < MIN_AFFINITY_TOKENS:
            return
        for part in request.head.parts:
            self._processed_by[(key, part.id)] = endpoint
            self._processed_by.move_to_end((key, part.id))
        while len(self._processed_by) > MAX_AFFINITY_ENTRIES:
            self._processed_by.popitem(last=False)
