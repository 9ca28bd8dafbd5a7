"""The parts of the daemon that operators can switch off.

Each is on by default and acts only where the configuration and what is observed call
for it.
"""

from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Features:
    """Which parts are switched on.

    ``pacing`` lets long prompts begin at an engine one after another, ``quota_order``
    grants quotas in the order of arrival, ``early_loads`` loads adapters ahead of
    demand, ``engine_speeds`` routes by the observed speed of each engine,
    ``shared_channels`` limits the channels to an engine over all daemons, and
    ``buffer_limit`` bounds what is held for clients and endpoints that read slowly.
    """

    pacing: bool = True
    quota_order: bool = True
    early_loads: bool = True
    engine_speeds: bool = True
    shared_channels: bool = True
    buffer_limit: bool = True


def read_features(disabled: str) -> Features:
    """Return the features without those named in a list separated by commas.

    Raises ``ValueError`` for a name that is not a feature.
    """
    names = {each.strip() for each in disabled.split(",") if each.strip()}
    known = {each.name for each in fields(Features)}
    unknown = names - known
    if unknown:
        raise ValueError(
            f"unknown features: {', '.join(sorted(unknown))}; "
            f"expected some of {', '.join(sorted(known))}"
        )
    return Features(**dict.fromkeys(names, False))
