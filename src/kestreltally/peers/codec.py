"""Conversion between message classes and the Thrift structs of the same names."""

import re
from collections.abc import Callable, Hashable
from dataclasses import fields, is_dataclass
from functools import cache
from pathlib import Path
from typing import Any, Final, cast, get_args, get_origin, get_type_hints

import thriftpy2

from kestreltally.entities.ids import VmId
from kestreltally.peers.messages import MESSAGE_TYPES, Envelope, PeerMessage

IDL_PATH: Final = Path(__file__).with_name("peers.thrift")
IDL: Final = thriftpy2.load(str(IDL_PATH), module_name="peers_thrift")


class MalformedEnvelope(ValueError):
    """A peer's envelope lacks a required field or holds an unknown message."""


def _make_field_name(message_type: type[Any]) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", message_type.__name__).lower()


FIELD_NAMES: Final = {each: _make_field_name(each) for each in MESSAGE_TYPES}

Converter = Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


@cache
def _make_writer(of_type: Hashable) -> Converter:
    """Return a converter of values of ``of_type`` to their Thrift form."""
    if get_origin(of_type) is list:
        item_writer = _make_writer(get_args(of_type)[0])
        if item_writer is _identity:
            return _identity
        return lambda items: [item_writer(item) for item in items]
    if not (isinstance(of_type, type) and is_dataclass(of_type)):
        return _identity
    struct = getattr(IDL, of_type.__name__)
    hints = get_type_hints(of_type)
    writers = [(each.name, _make_writer(hints[each.name])) for each in fields(of_type)]

    def write(value: Any) -> Any:
        return struct(
            **{name: writer(getattr(value, name)) for name, writer in writers}
        )

    return write


@cache
def _make_reader(of_type: Hashable) -> Converter:
    """Return a converter of Thrift values to ``of_type``.

    The converter raises ``MalformedEnvelope`` if a struct or field is missing.
    """
    if get_origin(of_type) is list:
        item_reader = _make_reader(get_args(of_type)[0])
        return lambda items: [item_reader(item) for item in items or ()]
    if not (isinstance(of_type, type) and is_dataclass(of_type)):
        return _identity
    hints = get_type_hints(of_type)
    readers = [(each.name, _make_reader(hints[each.name])) for each in fields(of_type)]

    def read(value: Any) -> Any:
        if value is None:
            raise MalformedEnvelope(f"struct {of_type.__name__} is missing")
        found = {}
        for name, reader in readers:
            plain = getattr(value, name)
            if plain is None:
                raise MalformedEnvelope(f"{of_type.__name__}.{name} is missing")
            found[name] = reader(plain)
        return of_type(**found)

    return read


WRITERS: Final[dict[type[Any], Converter]] = {
    each: _make_writer(cast(Any, each)) for each in MESSAGE_TYPES
}
READERS: Final[dict[str, Converter]] = {
    FIELD_NAMES[each]: _make_reader(cast(Any, each)) for each in MESSAGE_TYPES
}


def write_envelope(envelope: Envelope) -> Any:
    """Convert an envelope to its Thrift struct."""
    written = []
    for message in envelope.messages:
        message_type = type(message)
        body = WRITERS[message_type](message)
        written.append(IDL.Message(**{FIELD_NAMES[message_type]: body}))
    return IDL.Envelope(
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        stamp=envelope.stamp,
        messages=written,
    )


def _read_message(written: Any) -> PeerMessage:
    for field_name, reader in READERS.items():
        body = getattr(written, field_name)
        if body is not None:
            message: PeerMessage = reader(body)
            return message
    raise MalformedEnvelope("message has none of the known fields set")


def read_envelope(written: Any) -> Envelope:
    """Convert a Thrift struct to an envelope.

    Raises ``MalformedEnvelope`` if a required field is missing.
    """
    if written is None or not written.sender or written.incarnation is None:
        raise MalformedEnvelope("sender or incarnation is missing")
    return Envelope(
        sender=VmId(written.sender),
        incarnation=written.incarnation,
        stamp=written.stamp or 0.0,
        messages=tuple(_read_message(each) for each in written.messages or ()),
    )
