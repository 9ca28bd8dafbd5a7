"""Reads values that others have written, within the bounds of whatever uses them later.

A value that is accepted here can be compared, encoded for other daemons and logged.
"""

import math
import reprlib
from ipaddress import ip_address
from typing import Any, Final

# The exceptions that decoding a malformed document may raise.
FORMAT_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
# Upper bounds; a count fits in 32 bits with a sign, a number of the store in 64.
MAX_TEXT_LENGTH: Final = 512
MAX_COUNT: Final = 2**31 - 1
MAX_NUMBER: Final = 2**63 - 1
MAX_PORT: Final = 2**16 - 1


# Of an error's message; it may quote what was read.
MAX_SHOWN_LENGTH: Final = 200


class MalformedRecord(ValueError):
    """An object of the store does not hold a record that a daemon has written."""


def describe_error(error: Exception) -> str:
    """Return an error's type and message, shortened for logs."""
    return f"{type(error).__name__}: {shorten(str(error))}"


def shorten(text: str) -> str:
    """Return the beginning of a text, as it is quoted in messages."""
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return f"{text[:MAX_SHOWN_LENGTH]}... ({len(text)} characters)"


def read_text(value: Any, *, minimum_length: int = 1) -> str:
    """Return a string that can be encoded; raises ``TypeError`` or ``ValueError``."""
    if not isinstance(value, str):
        raise TypeError(f"{reprlib.repr(value)} is not a string")
    if not minimum_length <= len(value) <= MAX_TEXT_LENGTH:
        raise ValueError(f"a string of length {len(value)}")
    value.encode()
    return value


def read_count(value: Any, *, minimum: int = 1, maximum: int = MAX_COUNT) -> int:
    """Return an integer within bounds; raises ``TypeError`` or ``ValueError``."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{reprlib.repr(value)} is not an integer")
    if not minimum <= value <= maximum:
        raise ValueError(
            f"{reprlib.repr(value)} is not between {minimum} and {maximum}"
        )
    return value


def read_finite(value: Any, *, minimum: float = -math.inf) -> float:
    """Return a finite number; raises ``OverflowError`` or another of the above."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise TypeError(f"{reprlib.repr(value)} is not a number")
    number = float(value)
    if not math.isfinite(number) or number < minimum:
        raise ValueError(f"{number} is not finite, or less than {minimum}")
    return number


def read_flag(value: Any) -> bool:
    """Return a truth value; raises ``TypeError``."""
    if not isinstance(value, bool):
        raise TypeError(f"{reprlib.repr(value)} is not a truth value")
    return value


def read_address(host: Any, port: Any) -> tuple[str, int]:
    """Return a numeric host and a port; raises ``TypeError`` or ``ValueError``.

    Names are not resolved.
    """
    return str(ip_address(read_text(host))), read_count(port, maximum=MAX_PORT)


def read_digits(text: str, *, minimum: int = 0, maximum: int = MAX_COUNT) -> int:
    """Return the integer that a string of ASCII digits means; raises ``ValueError``."""
    if not text.isascii() or not text.isdigit():
        raise ValueError(f"{reprlib.repr(text)} is not a string of digits")
    return read_count(int(text), minimum=minimum, maximum=maximum)
