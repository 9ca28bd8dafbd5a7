"""Where a stream began."""

from dataclasses import dataclass

from kestreltally.fleet.model import (
    Endpoint,
    ServiceName,
    SoftwareVersion,
    WeightsKey,
)


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version that wrote the first event of a stream."""

    service: ServiceName
    software: SoftwareVersion

    @classmethod
    def at(cls, endpoint: Endpoint) -> "StreamOrigin":
        """Return the origin of a stream whose first event an endpoint wrote."""
        return cls(endpoint.service, endpoint.software)

    def includes(self, endpoint: Endpoint) -> bool:
        """Return whether a stream of this origin may go on at an endpoint."""
        is_same_service = endpoint.service == self.service
        return is_same_service and endpoint.software == self.software


@dataclass(frozen=True, slots=True)
class BoundWeights:
    """Weights that a stream needs at the software version that began it."""

    origin: StreamOrigin
    key: WeightsKey
