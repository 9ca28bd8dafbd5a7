"""A daemon's view of the other daemons."""

from dataclasses import dataclass
from enum import IntEnum

from kestreltally.entities.ids import NEVER, DataCentre, Seconds, VmId


class MemberState(IntEnum):
    """The believed state of a daemon; for rumours of equal age the larger one wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A daemon: its address, its incarnation and its believed state.

    ``incarnation`` increases with each start of the process, ``counter`` each time the
    daemon itself refutes a rumour. ``changed_at`` is in local monotonic seconds.
    """

    vm: VmId
    host: str
    port: int
    data_centre: DataCentre
    incarnation: int
    counter: int
    state: MemberState
    changed_at: Seconds = 0.0
    acked_at: Seconds = NEVER

    def precedence_key(self) -> tuple[int, int, int]:
        """Return the sort key of rumours about a VM; the larger one wins."""
        return (self.incarnation, self.counter, int(self.state))


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's VM list."""

    vm: VmId
    host: str
    port: int
    data_centre: DataCentre
    leaving: bool
    is_daemon: bool
