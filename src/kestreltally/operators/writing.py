"""Configuration changes by operators, made with optimistic concurrency control.

A write is conditional on the version that was read. When two operators change the
same object concurrently, one write succeeds and the other reports a conflict with
the name of the operator and the change. A write whose response was lost is resolved
by reading the object back.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from difflib import get_close_matches
from enum import Enum
from typing import Any, Final
from uuid import uuid4

import msgspec
from result import Err, Ok, Result

from kestreltally.entities.configuration import (
    KINDS,
    Adapter,
    ConfigObject,
    ConfigValue,
    Effect,
    Endpoint,
    Rule,
    encode_config_object,
    make_config_key,
    parse_config_object,
)
from kestreltally.operators.statements import (
    Alter,
    Create,
    Drain,
    Drop,
    Pin,
    Publish,
    RollBack,
    SetRule,
    Setting,
)
from kestreltally.ports import (
    AnswerLost,
    ObjectApi,
    ObjectApiDown,
    PlatformError,
    StoredObject,
)

READ_BACK_TRIES: Final = 20
READ_BACK_WAIT: Final = 0.25

Change = Create | Alter | Drop | Publish | RollBack | SetRule | Drain | Pin


class ChangeFailure(Enum):
    """Why a change failed."""

    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ChangeRefused:
    """A change that was not made, or whose outcome is unknown."""

    failure: ChangeFailure
    message: str


@dataclass(frozen=True)
class AppliedChange:
    """A change accepted at ``revision``, with the values before and after.

    In a dry run ``revision`` is the stored version.
    """

    kind: str
    name: str
    revision: int
    before: ConfigValue | None
    after: ConfigValue | None


class InvalidChange(ValueError):
    """The change cannot be applied to the object; the message gives the reason."""


def _apply_settings(
    kind: str,
    plain: dict[str, Any],
    settings: tuple[Setting, ...],
) -> ConfigValue:
    """Apply settings to an object's plain form and validate the result.

    Raises ``InvalidChange``.
    """
    of_type = KINDS[kind]
    known = [each.name for each in fields(of_type)]
    for setting in settings:
        if setting.field not in known or setting.field == "name":
            matches = get_close_matches(setting.field, known, n=1)
            hint = f"; did you mean {matches[0]!r}?" if matches else ""
            allowed = ", ".join(name for name in known if name != "name")
            raise InvalidChange(
                f"{kind} has no field {setting.field!r}; known fields: {allowed}{hint}"
            )
        value = setting.value
        plain[setting.field] = list(value) if isinstance(value, tuple) else value
    try:
        return msgspec.convert(plain, of_type)
    except msgspec.ValidationError as error:
        raise InvalidChange(f"{kind} {plain.get('name')}: {error}") from error


def _require(value: ConfigValue | None, kind: str, name: str) -> ConfigValue:
    if value is None:
        raise InvalidChange(f"there is no {kind} {name!r}")
    return value


def _alter(value: ConfigValue, kind: str, settings: tuple[Setting, ...]) -> ConfigValue:
    return _apply_settings(kind, msgspec.to_builtins(value), settings)


def _publish(adapter: Adapter, version: int) -> Adapter:
    if version < 1:
        raise InvalidChange(f"version must be at least 1, got {version}")
    versions = tuple(sorted({*adapter.versions, version}))
    previous = adapter.current if adapter.current != version else adapter.previous
    return replace(adapter, versions=versions, current=version, previous=previous)


def _roll_back(adapter: Adapter) -> Adapter:
    if not adapter.previous:
        raise InvalidChange(f"adapter {adapter.name} has no version to roll back to")
    return replace(adapter, current=adapter.previous, previous=adapter.current)


def compute_value(change: Change, before: ConfigValue | None) -> ConfigValue | None:
    """Return an object's value after a change, None if it is dropped.

    Raises ``InvalidChange``.
    """
    kind, name = get_changed_object(change)
    if isinstance(change, Create):
        if before is not None:
            raise InvalidChange(f"{kind} {name!r} already exists")
        return _apply_settings(kind, {"name": name}, change.settings)
    if isinstance(change, SetRule):
        return Rule(
            name=change.name,
            caller=change.caller,
            adapter=change.adapter,
            effect=Effect(change.effect),
        )
    value = _require(before, kind, name)
    if isinstance(change, Alter):
        return _alter(value, kind, change.settings)
    if isinstance(change, Drop):
        return None
    if isinstance(change, Drain):
        assert isinstance(value, Endpoint)
        return replace(value, draining=change.draining)
    assert isinstance(value, Adapter)
    if isinstance(change, Publish):
        return _publish(value, change.version)
    if isinstance(change, RollBack):
        return _roll_back(value)
    return replace(value, pinned_to=change.endpoints)


def get_changed_object(change: Change) -> tuple[str, str]:
    """Return the kind and name of the object that a change applies to."""
    if isinstance(change, Create | Alter | Drop):
        return change.kind, change.name
    if isinstance(change, SetRule):
        return "rule", change.name
    if isinstance(change, Drain):
        return "endpoint", change.name
    return "adapter", change.adapter


class Writer:
    """Writes operators' changes through the object API."""

    def __init__(
        self,
        objects: ObjectApi,
        operator: str,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._objects = objects
        self._operator = operator
        self._wall_clock = wall_clock

    async def make(
        self,
        change: Change,
        dry_run: bool = False,
    ) -> Result[AppliedChange, ChangeRefused]:
        """Make a change; a dry run only computes its result."""
        kind, name = get_changed_object(change)
        key = make_config_key(kind, name)
        try:
            stored = await self._objects.read(key)
        except PlatformError as error:
            return self._refuse(ChangeFailure.UNAVAILABLE, f"nothing changed: {error}")
        before = self._read(key, stored)
        try:
            after = compute_value(change, before.value if before else None)
        except InvalidChange as error:
            return self._refuse(ChangeFailure.INVALID, str(error))
        applied = AppliedChange(
            kind=kind,
            name=name,
            revision=stored.version,
            before=before.value if before else None,
            after=after,
        )
        if dry_run:
            return Ok(applied)
        return await self._write(key, applied, stored.version)

    def _read(self, key: str, stored: StoredObject) -> ConfigObject | None:
        if stored.version == 0:
            return None
        return parse_config_object(key, stored.value, stored.revision)

    def _refuse(self, failure: ChangeFailure, message: str) -> Err[ChangeRefused]:
        return Err(ChangeRefused(failure=failure, message=message))

    async def _write(
        self,
        key: str,
        applied: AppliedChange,
        version: int,
    ) -> Result[AppliedChange, ChangeRefused]:
        new_object = ConfigObject(
            kind=applied.kind,
            name=applied.name,
            revision=0,
            value=applied.after,
            by=self._operator,
            at=self._wall_clock(),
            change=uuid4().hex,
        )
        try:
            plain = encode_config_object(new_object)
            written = await self._objects.write(key, plain, version)
        except ObjectApiDown as error:
            return self._refuse(ChangeFailure.UNAVAILABLE, f"nothing changed: {error}")
        except AnswerLost:
            return await self._resolve(key, applied, new_object, version)
        if isinstance(written, Ok):
            return Ok(replace(applied, revision=written.ok_value.revision))
        return self._check_conflict(key, applied, new_object, written.err_value.current)

    def _check_conflict(
        self,
        key: str,
        applied: AppliedChange,
        new_object: ConfigObject,
        current: StoredObject,
    ) -> Result[AppliedChange, ChangeRefused]:
        """Distinguish this change, delivered twice, from a conflicting one.

        A write that arrives twice conflicts with itself: the stored object then
        has the same change id, and the change was accepted.
        """
        existing = self._read(key, current)
        if existing is not None and existing.change == new_object.change:
            return Ok(replace(applied, revision=current.revision))
        return self._describe_conflict(key, current)

    def _describe_conflict(self, key: str, current: StoredObject) -> Err[ChangeRefused]:
        existing = self._read(key, current)
        if existing is None:
            return self._refuse(
                ChangeFailure.CONFLICT, f"nothing changed: {key} no longer exists"
            )
        age = max(0.0, self._wall_clock() - existing.at)
        shown = (
            "dropped it"
            if existing.value is None
            else f"changed it to {existing.value}"
        )
        return self._refuse(
            ChangeFailure.CONFLICT,
            f"nothing changed: {existing.by} {shown} {age:.1f} s ago, "
            f"at revision {existing.revision}; read it again and retry",
        )

    async def _resolve(
        self,
        key: str,
        applied: AppliedChange,
        new_object: ConfigObject,
        version: int,
    ) -> Result[AppliedChange, ChangeRefused]:
        """Find out whether a write with a lost response was accepted.

        While the object still has the old version, the write may still arrive. The
        same change is therefore written again, conditional on the same version:
        only one of the two writes can succeed.
        """
        for _ in range(READ_BACK_TRIES):
            try:
                current = await self._objects.read(key)
                if current.version != version:
                    return self._check_conflict(key, applied, new_object, current)
                plain = encode_config_object(new_object)
                written = await self._objects.write(key, plain, version)
                if isinstance(written, Ok):
                    return Ok(replace(applied, revision=written.ok_value.revision))
            except PlatformError:
                await asyncio.sleep(READ_BACK_WAIT)
        return self._refuse(
            ChangeFailure.UNKNOWN,
            f"outcome unknown: response lost and the object API does not respond; "
            f"to see whether {applied.kind} {applied.name} changed, run "
            f"'show {applied.kind}s where name = {applied.name}'",
        )
