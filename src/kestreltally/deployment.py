"""The settings of a daemon that runs on the users' platform."""

from dataclasses import dataclass

from kestreltally.fleet.model import Seconds
from kestreltally.quotas.grants import QuotaBounds


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """A host and port to listen at or to call."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operators' bounds that decisions here depend on.

    ``lease`` is how long two daemons that give orders to one engine must be apart.
    ``load_window`` and ``load_overage`` bound the loads from the weight store in any
    such window. ``retry_ratio`` and ``retry_slack`` bound repeated sends to a service
    over all daemons in any ``retry_window``. A key that was taken away more than
    ``revocation`` ago runs nothing, also on a daemon that is out of touch; none where
    daemons out of touch need not know.
    """

    drain: Seconds
    grace: Seconds
    configuration: Seconds
    lease: Seconds
    version: Seconds
    load_window: Seconds
    load_overage: float
    retry_ratio: float
    retry_window: Seconds
    retry_slack: float
    revocation: Seconds | None = None
    quota: QuotaBounds = QuotaBounds()


@dataclass(frozen=True, slots=True)
class MachineCapacity:
    """What the machine has for this daemon: cores' worth of processor, and its link."""

    cores: float
    link_mbps: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Who this daemon is, where it listens, and where the store is.

    ``first_start`` tells that all daemons of the deployment start together, for the
    first time: nothing leads yet, and no client is there.
    """

    vm: str
    data_centre: str
    data_centres: tuple[str, ...]
    clients: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    metrics_port: int
    store: SocketAddress
    machine_capacity: MachineCapacity
    bounds: Bounds
    first_start: bool = False
