"""Bytes in the place of a JSON value, on which no decoder may fail."""

from typing import Final

# The maximum size of an object of the store.
VALUE_BYTES: Final = 1_048_576


def _nest(opening: bytes, inner: bytes, closing: bytes, levels: int) -> bytes:
    return opening * levels + inner + closing * levels


ODD_VALUES: Final = {
    "arrays 1,500 deep": _nest(b"[", b"", b"]", 1_500),
    "arrays 100,000 deep": _nest(b"[", b"", b"]", 100_000),
    "arrays and numbers 100,000 deep": _nest(b"[1,", b"1", b"]", 100_000),
    "arrays of the maximum size": _nest(b"[", b"", b"]", VALUE_BYTES // 2 - 100),
    "objects 1,500 deep": _nest(b'{"a":', b"1", b"}", 1_500),
    "objects 100,000 deep": _nest(b'{"a":', b"1", b"}", 100_000),
    "brackets in strings, 1,500 deep": _nest(b'["]}\\"",', b"1", b"]", 1_500),
    "number of 5,000 digits": b"1" * 5_000,
    "bytes that are not UTF-8": b'"\xff\xfe\x01"',
    "lone surrogate": b'"\\ud800"',
    "number beyond all floats": b"1e400",
    "not a number": b"NaN",
    "word that is no JSON": b"maybe",
    "null": b"null",
}
