"""Encodes Thrift structs; one element that cannot be encoded hides no other.

Values are checked where they are read. One that slips through would otherwise end every
message that carries it, to all daemons, for as long as it is known.
"""

import logging
import reprlib
from typing import Any, Final

from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TException
from thriftpy2.utils import serialize

from kestreltally.decisions import Decision, log_decision

LOG = logging.getLogger("kestreltally.feed")

PROTOCOL: Final = TCyBinaryProtocolFactory()
ENCODING_ERRORS: Final = (TException, OverflowError, TypeError, ValueError)


def encode_struct(struct: Any) -> bytes:
    """Return the bytes of a struct, without elements that cannot be encoded.

    Only elements of its lists and maps are left out. Raises one of ``ENCODING_ERRORS``
    if another of its values cannot be encoded.
    """
    try:
        return _encode(struct)
    except ENCODING_ERRORS as error:
        log_decision(
            LOG,
            Decision.FEED_VALUE_LEFT_OUT,
            message=type(struct).__name__,
            reason=reprlib.repr(str(error)),
        )
        return _encode(_copy_encodable(struct))


def _encode(struct: Any) -> bytes:
    encoded: bytes = serialize(struct, PROTOCOL)
    return encoded


def _copy_encodable(struct: Any) -> Any:
    """Return a copy of a struct with those elements that can be encoded."""
    copy = type(struct)()
    for field in struct.thrift_spec.values():
        name = field[1]
        value = _select_encodable(type(struct), name, getattr(struct, name))
        setattr(copy, name, value)
    return copy


def _select_encodable(kind: type[Any], name: str, value: Any) -> Any:
    match value:
        case list():
            return [each for each in value if _is_encodable(kind, name, [each])]
        case dict():
            return {
                key: each
                for key, each in value.items()
                if _is_encodable(kind, name, {key: each})
            }
        case _:
            return value


def _is_encodable(kind: type[Any], name: str, value: Any) -> bool:
    try:
        _encode(kind(**{name: value}))
    except ENCODING_ERRORS:
        return False
    return True
