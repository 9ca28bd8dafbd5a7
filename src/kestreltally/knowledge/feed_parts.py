"""Parts of the feed, which fill fields of its messages and apply them.

To add a part, subclass ``FeedPart`` and list it in ``exchange.py``.
"""

from dataclasses import dataclass
from typing import Any

from kestreltally.knowledge.peer import Peer
from kestreltally.platform.store import Revision


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """An update of a leader, and the context in which to apply it.

    ``data_centre`` is the one whose leader this daemon is connected to, and
    ``led_data_centres`` are those that the sender leads. The rows reflect the store as
    of the revision ``as_of``; it is None if the sender does not state it. ``followed``
    says that this daemon follows the sender.
    """

    update: Any
    data_centre: str
    led_data_centres: frozenset[str]
    as_of: Revision | None
    followed: bool


class FeedPart:
    """Base class of the parts; each overrides the methods that it needs."""

    def fill_report(self, report: Any, data_centre: str) -> None:
        """Fill the part's fields of a report to the leader of a data centre."""

    def apply_report(self, peer: Peer, report: Any) -> None:
        """Apply the part's fields of a report by a daemon or another leader."""

    def fill_update(self, update: Any, peer: Peer) -> None:
        """Fill the part's fields of an update for a daemon, as a leader."""

    def apply_update(self, received: ReceivedUpdate) -> None:
        """Apply the part's fields of a leader's update."""
