"""Import each system once, so that the registries are filled."""

from kestreltally.policies import placement
from kestreltally.systems import (
    budget,
    configuration,
    granting,
    holding,
    leadership,
    loading,
    membership,
    reports,
)

SYSTEMS = (
    membership,
    configuration,
    leadership,
    reports,
    holding,
    granting,
    loading,
    budget,
)
POLICIES = (placement,)
