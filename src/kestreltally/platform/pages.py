"""Decodes the bodies of the store's answers, so that one bad object hides no other.

An answer holds objects of many writers. It is decoded as a whole if that is possible.
Otherwise each object is decoded by itself: the decoder of the standard library fails on
deep nesting and on long numbers, as do those of the registry, which also give no bounds
of the part at fault. So the end of such a part is found here, without recursion.
"""

import json
import re
from typing import Any, Final

# Fields that hold one object in each element: of a listing, and of a watch's answer,
# where the object is a field of the element.
_LEVELS_OF_ITEMS: Final = {"items": 2, "events": 3}
# Of the metadata that the store adds to an object, writers set some fields: one of them
# must not hide the name and the revision.
_LEVELS_OF_METADATA: Final = {"Metadata": 1}
_DECODER: Final = json.JSONDecoder(strict=False)
_BLANK: Final = re.compile(r"[ \t\r\n]*+")
_DELIMITER: Final = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+', re.DOTALL)
_SCALAR: Final = re.compile(r"[^,\]}]*+")
_DECODING_ERRORS: Final = (ValueError, RecursionError)


class UndecodablePage(ValueError):
    """An answer is not JSON, or its structure as a whole cannot be read."""


def decode_page(content: bytes) -> Any:
    """Return an answer's body; raises ``UndecodablePage``.

    A field of an object that cannot be decoded is None. Bytes that are not valid UTF-8
    are replaced, so they do not affect the other objects.
    """
    text = content.decode("utf-8", "replace")
    try:
        return json.loads(text, strict=False)
    except _DECODING_ERRORS as error:
        start = _skip_blank(text, 0)
        if not text.startswith("{", start):
            raise UndecodablePage(f"not an object: {error!r}") from error
        return _Parts(text).read_page(start)


def _skip_blank(text: str, at: int) -> int:
    found = _BLANK.match(text, at)
    return found.end() if found is not None else at


class _Parts:
    """Reads a text part by part; positions are offsets in the text."""

    def __init__(self, text: str) -> None:
        self._text = text

    def read_page(self, at: int) -> dict[str, Any]:
        """Return the object that begins at a position."""
        page, end = self._read_object(at, _LEVELS_OF_ITEMS | _LEVELS_OF_METADATA)
        if _skip_blank(self._text, end) != len(self._text):
            raise UndecodablePage(f"more text at {end}")
        return page

    def _read(self, at: int, levels: int) -> tuple[Any, int]:
        """Return a value, and where it ends.

        Of one that cannot be decoded, the parts down to ``levels`` below are decoded by
        themselves. It is None if no levels are left.
        """
        try:
            return _DECODER.raw_decode(self._text, at)
        except _DECODING_ERRORS:
            first = self._text[at : at + 1]
            if levels and first == "[":
                return self._read_array(at, levels)
            if levels and first == "{":
                return self._read_object(at, _LEVELS_OF_METADATA, levels)
            return None, self._find_end(at)

    def _read_array(self, at: int, levels: int) -> tuple[list[Any], int]:
        values = []
        at = _skip_blank(self._text, at + 1)
        while not self._text.startswith("]", at):
            value, at = self._read(at, levels - 1)
            values.append(value)
            at = self._skip_comma(at, "]")
        return values, at + 1

    def _read_object(
        self, at: int, levels_by_key: dict[str, int], levels: int = 1
    ) -> tuple[dict[str, Any], int]:
        """Return an object; ``levels_by_key`` are the levels below some fields."""
        fields = {}
        at = _skip_blank(self._text, at + 1)
        while not self._text.startswith("}", at):
            key, at = self._read_key(at)
            below = levels_by_key.get(key, levels - 1)
            fields[key], at = self._read(at, below)
            at = self._skip_comma(at, "}")
        return fields, at + 1

    def _read_key(self, at: int) -> tuple[str, int]:
        """Return a field's name, and where its value begins."""
        try:
            key, at = _DECODER.raw_decode(self._text, at)
        except _DECODING_ERRORS as error:
            raise UndecodablePage(f"no field at {at}: {error!r}") from error
        at = _skip_blank(self._text, at)
        if not isinstance(key, str) or not self._text.startswith(":", at):
            raise UndecodablePage(f"no field at {at}")
        return key, _skip_blank(self._text, at + 1)

    def _skip_comma(self, at: int, closing: str) -> int:
        """Return where the next part begins, or the bracket that closes all parts."""
        at = _skip_blank(self._text, at)
        if self._text.startswith(closing, at):
            return at
        if not self._text.startswith(",", at):
            raise UndecodablePage(f"neither a comma nor {closing} at {at}")
        return _skip_blank(self._text, at + 1)

    def _find_end(self, at: int) -> int:
        """Return where a value ends that cannot be decoded, by its brackets."""
        if self._text[at : at + 1] not in ("[", "{"):
            found = _SCALAR.match(self._text, at)
            return found.end() if found is not None else len(self._text)
        depth = 0
        for delimiter in _DELIMITER.finditer(self._text, at):
            brackets = delimiter.group()
            if brackets[0] == '"':
                continue
            if brackets[0] in "[{":
                depth += len(brackets)
                continue
            if depth <= len(brackets):
                return delimiter.start() + depth
            depth -= len(brackets)
        raise UndecodablePage(f"no end of the value at {at}")
