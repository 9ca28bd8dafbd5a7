"""Daemons as one daemon sees them."""

from dataclasses import dataclass
from enum import IntEnum

from kestreltally.entities.ids import NEVER, DataCentre, Seconds, VmId


class MemberState(IntEnum):
    """What is believed of a daemon; of two rumours of one age the larger holds."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon: where it listens, which run of it, and what is believed of it.

    ``incarnation`` rises with each start of the process, ``counter`` each time
    the daemon itself refutes a rumour. ``changed_at`` is local monotonic seconds.
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
        """Return what orders two rumours about one VM."""
        return (self.incarnation, self.counter, int(self.state))


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the platform's VM list."""

    vm: VmId
    host: str
    port: int
    data_centre: DataCentre
    leaving: bool
    is_daemon: bool
