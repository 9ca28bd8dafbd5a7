"""Decides what a daemon watches in the store itself, and what leaders tell it."""

from collections.abc import Callable
from dataclasses import dataclass

from kestreltally.fleet.model import Seconds
from kestreltally.knowledge.configuration_age import ConfigurationAge
from kestreltally.knowledge.endpoints_age import EndpointsAge
from kestreltally.knowledge.leaders import Leaders
from kestreltally.knowledge.watching import KindWatch


@dataclass(frozen=True, slots=True)
class WatchSwitch:
    """Switches the watches of a daemon on and off.

    A new deployment waits until ``first_leader_until`` for its first leader.
    """

    leaders: Leaders
    endpoints_age: EndpointsAge
    configuration_age: ConfigurationAge
    endpoints: KindWatch
    configuration: KindWatch
    versions: KindWatch
    first_leader_until: Seconds
    clock: Callable[[], Seconds]

    def apply(self) -> None:
        """Watch the store from this daemon unless a leader's feed provides the data.

        Endpoints are watched once the leaders' proofs of their list are too old. While
        the store does not answer, a daemon that is not a leader watches nothing else.
        """
        leads = self.leaders.leads
        is_waiting = self._is_first_leader_pending()
        is_reported = self.endpoints_age.is_reported_lately() or is_waiting
        self.endpoints.set_enabled(leads or not is_reported)
        has_feed = self.leaders.has_fresh_feed() or is_waiting
        store_answers = leads or not self.endpoints.failing
        others_needed = (leads or not has_feed) and store_answers
        self.configuration.set_enabled(others_needed)
        self.versions.set_enabled(others_needed)

    def needs_configuration_read(self) -> bool:
        """Return whether this daemon must read the configuration to confirm its age.

        While the store is down, only the endpoint watch probes whether it answers.
        """
        return self.configuration_age.is_read_needed(
            leads=self.leaders.leads,
            store_is_away=self.endpoints.failing or self._is_first_leader_pending(),
        )

    def _is_first_leader_pending(self) -> bool:
        """Return whether a new deployment is still waiting for its first leader."""
        return self.clock() < self.first_leader_until
