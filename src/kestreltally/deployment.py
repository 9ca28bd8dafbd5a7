"""The settings of a daemon that runs on the users' platform."""

from dataclasses import dataclass
from typing import Final

from kestreltally.features import Features
from kestreltally.fleet.model import Seconds
from kestreltally.quotas.grants import QuotaBounds

DEFAULT_HEARTBEAT: Final[Seconds] = 1.2


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """A host and port to listen on or to connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operators' bounds that the daemon's decisions must satisfy.

    ``lease`` is the minimum time between the orders of two daemons to one engine.
    ``load_window`` and ``load_overage`` bound the loads from the weight store in any
    such window. ``retry_ratio`` and ``retry_slack`` bound retries to a service, summed
    over all daemons, in any ``retry_window``. A key that was revoked more than
    ``revocation`` ago is rejected, even by a daemon that is disconnected; it is None
    where disconnected daemons may continue to accept revoked keys.
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
    """The machine's resources for this daemon: processor cores, network link, memory.

    ``memory`` is in bytes, ``descriptors`` a number; each is 0 if it is unknown.
    """

    cores: float
    link_mbps: float
    memory: int = 0
    descriptors: int = 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """The identity of this daemon, its addresses, and the address of the store.

    ``first_start`` is set if all daemons of the deployment are started together for the
    first time, so there are neither leaders nor clients yet. ``heartbeat`` is the
    interval at which endpoints refresh their entries in the store. Requests of other
    daemons are taken at ``forwarding_port`` of the address for peers, 0 for any port.
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
    heartbeat: Seconds = DEFAULT_HEARTBEAT
    features: Features = Features()
    forwarding_port: int = 0
