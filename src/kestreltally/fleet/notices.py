"""What endpoints say of themselves in their answers: that they leave, or want a rest.

An endpoint's own word is no suspicion: it overrules the store's entry and a leader's
row, which may be older, and it ends with that start of the endpoint. A rest ends with
its time, too.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from kestreltally.decisions import Decision, log_decision
from kestreltally.fleet.model import SILENT, Endpoint, EndpointId, Notice, Seconds

LOG = logging.getLogger("kestreltally.notices")

NEVER: Final[Seconds] = float("-inf")


@dataclass(slots=True)
class _Standing:
    """What is known of one start of an endpoint."""

    born: int
    noted_at: Seconds
    leaves: bool = False
    rests_until: Seconds = NEVER


class NoticeTable:
    """The word of endpoints on themselves, as far as it was heard here."""

    def __init__(self) -> None:
        self._rows: dict[EndpointId, _Standing] = {}
        # Called with what is new.
        self.note_news: Callable[[Endpoint, Notice], None] = lambda *_: None

    def note(self, endpoint: Endpoint, notice: Notice, now: Seconds) -> None:
        """Take in what an answer of an endpoint says."""
        if notice == SILENT:
            return
        row = self._find_row(endpoint, now)
        if row is None:
            return
        news = notice.leaves and not row.leaves
        if news:
            log_decision(LOG, Decision.ENDPOINT_SAYS_LEAVING, endpoint=endpoint.id)
        row.leaves = row.leaves or notice.leaves
        if notice.rest > 0:
            news = news or now >= row.rests_until
            row.rests_until = max(row.rests_until, now + notice.rest)
            log_decision(
                LOG,
                Decision.ENDPOINT_WANTS_REST,
                endpoint=endpoint.id,
                rest=notice.rest,
            )
        if news:
            self.note_news(endpoint, notice)

    def _find_row(self, endpoint: Endpoint, now: Seconds) -> _Standing | None:
        """Return the row of an endpoint's start, none where a later one is known."""
        row = self._rows.get(endpoint.id)
        if row is not None and row.born and endpoint.born:
            if endpoint.born < row.born:
                return None
            if endpoint.born > row.born:
                row = None
        if row is None:
            row = self._rows[endpoint.id] = _Standing(endpoint.born, now)
        row.noted_at = now
        return row
