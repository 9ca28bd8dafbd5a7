"""The parts of the feed: what each tells is put into messages, and taken from them.

To add one: subclass ``FeedPart``, and name it in the list in ``exchange.py``.
"""

from dataclasses import dataclass
from typing import Any

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.peer import Peer


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """An update of a leader, and how to take it.

    ``data_centre`` is the one whose leader was asked for it, ``led_data_centres`` are those that it
    leads, and it tells what the store held at ``as_of``, by this daemon's clock.
    ``followed`` tells that this daemon follows it.
    """

    update: Any
    data_centre: str
    led_data_centres: frozenset[str]
    as_of: Seconds
    followed: bool


class FeedPart:
    """What one part tells and takes; each does what it needs of these."""

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Put this part's own into a report to the leader of a data centre."""

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Take in what a daemon, or another leader for its daemons, reports."""

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Put this part's own into an update for a daemon, as a leader."""

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Take in what a leader tells."""
