"""Imports each system once, so that it registers its handlers."""

from kestreltally.policies import placement
from kestreltally.systems import (
    availability,
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
    availability,
    holding,
    granting,
    loading,
    budget,
)
POLICIES = (placement,)
