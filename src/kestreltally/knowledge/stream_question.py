"""A question to other daemons where a stream began, and their answers."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from kestreltally.deployment import SocketAddress
from kestreltally.fleet.model import ServiceName
from kestreltally.streams.evidence import Denial, Inquiry
from kestreltally.streams.names import StreamName
from kestreltally.streams.origins import StreamOrigin
from kestreltally.streams.register import KnownStream


@dataclass(slots=True)
class StreamQuestion:
    """A question that waits for answers; ``pending`` are the daemons that owe one.

    ``service`` is the one that the stream may belong to. ``registrars`` are those that
    a daemon tells of a stream of this name.
    """

    name: StreamName
    service: ServiceName | None
    registrars: tuple[SocketAddress, ...]
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    pending: set[SocketAddress] = field(default_factory=set)
    found: KnownStream | None = None
    _asked: int = 0
    _denials: dict[SocketAddress, Denial] = field(default_factory=dict)

    def record_asked(self, addresses: Iterable[SocketAddress]) -> None:
        """Record that some more daemons have been asked."""
        self.answered.clear()
        for each in addresses:
            self.pending.add(each)
            self._asked += 1

    def record_found(self, stream: KnownStream) -> None:
        """Record that a daemon knows the stream."""
        self.found = stream
        self.answered.set()

    def record_denial(self, sender: SocketAddress, denial: Denial) -> None:
        """Record that a daemon does not know the stream."""
        self.pending.discard(sender)
        self._denials[sender] = denial
        if not self.pending:
            self.answered.set()

    def is_answered(self, only: StreamOrigin | None) -> bool:
        """Return whether a daemon knows the stream, or enough confirm its origin."""
        if self.found is not None:
            return True
        return only is not None and self.summarise().confirms(only)

    def summarise(self) -> Inquiry:
        """Return the answers so far."""
        return Inquiry(
            found=self.found,
            asked=self._asked,
            answered=len(self._denials) + (self.found is not None),
            registrars=tuple(self._denials.get(each) for each in self.registrars),
        )
