"""Conversion of stored objects of the object API to the daemon's types."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from kestreltally.entities.configuration import (
    ConfigObject,
    MalformedObject,
    parse_config_object,
)
from kestreltally.entities.endpoints import LeaderRecord
from kestreltally.entities.ids import EndpointId, VmId
from kestreltally.ports import StoredObject

LOG = logging.getLogger("kestreltally.objectapi")
LEADER_PREFIX: Final = "leader/"


@dataclass(frozen=True)
class LeaderValue:
    """Stored form of a leader record in the object API."""

    leader: str
    incarnation: int
    epoch: int
    change: str


def read_leader_record(stored: StoredObject) -> LeaderRecord | None:
    """Return the leader record in a stored object.

    Returns None if the object does not exist or is malformed; the latter is logged.
    """
    if stored.version == 0 or stored.value is None:
        return None
    try:
        value = msgspec.convert(stored.value, LeaderValue)
    except msgspec.ValidationError as error:
        LOG.error("platform: malformed leader record %s: %s", stored.key, error)
        return None
    return LeaderRecord(
        endpoint=EndpointId(stored.key.removeprefix(LEADER_PREFIX)),
        leader=VmId(value.leader),
        incarnation=value.incarnation,
        epoch=value.epoch,
        change=value.change,
        version=stored.version,
    )


def read_config_objects(stored: Iterable[StoredObject]) -> tuple[ConfigObject, ...]:
    """Return the well-formed objects; log and skip the others."""
    objects = []
    for each in stored:
        try:
            objects.append(parse_config_object(each.key, each.value, each.revision))
        except MalformedObject as error:
            LOG.error("platform: skipped configuration object: %s", error)
    return tuple(objects)
