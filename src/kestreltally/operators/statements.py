"""Typed statements of the operators' language, and their parser."""

from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import Any, Final

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedEOF, UnexpectedInput, UnexpectedToken, VisitError

GRAMMAR_PATH: Final = Path(__file__).with_name("language.lark")
PARSER: Final = Lark(GRAMMAR_PATH.read_text(encoding="utf-8"), parser="lalr")
MAX_EXPECTED_SHOWN: Final = 8
TERMINAL_DESCRIPTIONS: Final = {
    "KIND": "a kind (model, adapter, rule, caller, endpoint)",
    "TABLE": "a table (adapters, endpoints, slots, requests, ...)",
    "TARGET": "endpoint or vm",
    "NAME": "a name",
    "STRING": "a quoted string",
    "NUMBER": "a number",
    "FLOAT": "a number",
    "BOOLEAN": "true or false",
    "OPERATOR": "one of = != < <= > >= ~",
    "EQUAL": "=",
    "COMMA": ",",
    "LSQB": "[",
    "RSQB": "]",
    "SEMICOLON": ";",
    "PATH": "a path",
    "URL": "a URL",
    "ANY": "*",
    "DIRECTION": "asc or desc",
    "$END": "end of input",
}
KEYWORDS: Final = (
    "create",
    "alter",
    "drop",
    "publish",
    "rollback",
    "allow",
    "deny",
    "show",
    "drain",
    "undrain",
    "pin",
    "unpin",
    "explain",
    "timeline",
    "model",
    "adapter",
    "rule",
    "caller",
    "endpoint",
    "models",
    "adapters",
    "rules",
    "callers",
    "endpoints",
    "members",
    "leaders",
    "slots",
    "queues",
    "permits",
    "loads",
    "breakers",
    "daemons",
    "requests",
    "with",
    "set",
    "version",
    "where",
    "order",
    "by",
    "limit",
    "to",
    "use",
    "as",
    "and",
)


class InvalidStatement(ValueError):
    """The text is not a valid statement; the message gives line and column."""


@dataclass(frozen=True)
class Setting:
    """A field and the value to set it to."""

    field: str
    value: Any


@dataclass(frozen=True)
class Condition:
    """A comparison of a field with a value."""

    field: str
    operator: str
    value: Any


@dataclass(frozen=True)
class Create:
    """Create an object."""

    kind: str
    name: str
    settings: tuple[Setting, ...]


@dataclass(frozen=True)
class Alter:
    """Change fields of an object."""

    kind: str
    name: str
    settings: tuple[Setting, ...]


@dataclass(frozen=True)
class Drop:
    """Drop an object."""

    kind: str
    name: str


@dataclass(frozen=True)
class Publish:
    """Publish a version of an adapter and make it the current one."""

    adapter: str
    version: int


@dataclass(frozen=True)
class RollBack:
    """Make an adapter's previous version the current one."""

    adapter: str


@dataclass(frozen=True)
class SetRule:
    """Allow or deny a caller the use of an adapter or a service."""

    caller: str
    adapter: str
    effect: str
    name: str


@dataclass(frozen=True)
class Show:
    """Show rows of a table."""

    table: str
    conditions: tuple[Condition, ...]
    order_by: str
    descending: bool
    limit: int


@dataclass(frozen=True)
class Drain:
    """Start or stop draining an endpoint, or all endpoints of a VM."""

    target: str
    name: str
    draining: bool


@dataclass(frozen=True)
class Pin:
    """Keep an adapter loaded at endpoints; an empty tuple unpins it."""

    adapter: str
    endpoints: tuple[str, ...]


@dataclass(frozen=True)
class Explain:
    """Explain why a request waited, ran or was refused."""

    request: str


@dataclass(frozen=True)
class ShowTimeline:
    """Show the merged time line."""

    conditions: tuple[Condition, ...]
    limit: int


Statement = (
    Create
    | Alter
    | Drop
    | Publish
    | RollBack
    | SetRule
    | Show
    | Drain
    | Pin
    | Explain
    | ShowTimeline
)


@v_args(inline=True)
class _Builder(Transformer[Token, tuple[Statement, ...]]):
    """Transforms the parse tree into statements; each method handles one rule."""

    def start(self, *statements: Any) -> tuple[Statement, ...]:
        return tuple(each for each in statements if not isinstance(each, Token))

    def name(self, token: Token) -> str:
        return str(token).strip("\"'")

    subject = name

    def list(self, *values: Any) -> "tuple[Any, ...]":
        return tuple(each for each in values if each is not None)

    def value(self, raw: Any) -> Any:
        if not isinstance(raw, Token):
            return raw
        if raw.type == "BOOLEAN":
            return raw.lower() == "true"
        if raw.type == "NUMBER":
            return int(raw)
        if raw.type == "FLOAT":
            return float(raw)
        return str(raw).strip("\"'")

    def setting(self, field: Token, value: Any) -> Setting:
        return Setting(field=str(field), value=value)

    def settings(self, *settings: Setting) -> tuple[Setting, ...]:
        return settings

    def condition(self, field: Token, operator: Token, value: Any) -> Condition:
        return Condition(field=str(field), operator=str(operator), value=value)

    def conditions(self, *conditions: Condition) -> tuple[Condition, ...]:
        return conditions

    def order(self, field: Token, direction: Token | None) -> tuple[str, bool]:
        descending = direction is not None and direction.lower() == "desc"
        return str(field), descending

    def create(self, kind: Token, name: str, settings: Any) -> Create:
        return Create(kind=kind.lower(), name=name, settings=settings or ())

    def alter(self, kind: Token, name: str, settings: Any) -> Alter:
        return Alter(kind=kind.lower(), name=name, settings=settings)

    def drop(self, kind: Token, name: str) -> Drop:
        return Drop(kind=kind.lower(), name=name)

    def publish(self, name: str, version: Token) -> Publish:
        return Publish(adapter=name, version=int(version))

    def rollback(self, name: str) -> RollBack:
        return RollBack(adapter=name)

    def allow(self, caller: str, adapter: str, name: str | None) -> SetRule:
        return _make_rule(caller, adapter, "allow", name)

    def deny(self, caller: str, adapter: str, name: str | None) -> SetRule:
        return _make_rule(caller, adapter, "deny", name)

    def show(
        self,
        table: Token,
        conditions: Any,
        order: Any,
        limit: Token | None,
    ) -> Show:
        order_by, descending = order or ("", False)
        return Show(
            table=table.lower(),
            conditions=conditions or (),
            order_by=order_by,
            descending=descending,
            limit=int(limit) if limit is not None else 0,
        )

    def drain(self, target: Token, name: str) -> Drain:
        return Drain(target=target.lower(), name=name, draining=True)

    def undrain(self, target: Token, name: str) -> Drain:
        return Drain(target=target.lower(), name=name, draining=False)

    def pin(self, adapter: str, *endpoints: str) -> Pin:
        return Pin(adapter=adapter, endpoints=endpoints)

    def unpin(self, adapter: str) -> Pin:
        return Pin(adapter=adapter, endpoints=())

    def explain(self, request: str) -> Explain:
        return Explain(request=request)

    def timeline(self, conditions: Any, limit: Token | None) -> ShowTimeline:
        count = int(limit) if limit is not None else 0
        return ShowTimeline(conditions=conditions or (), limit=count)


def _make_rule(caller: str, adapter: str, effect: str, name: str | None) -> SetRule:
    parts = f"{effect}-{caller}-{adapter}".replace("*", "any").replace("/", ".")
    return SetRule(
        caller=caller,
        adapter=adapter,
        effect=effect,
        name=name or parts.lower(),
    )


def _list_expected(error: UnexpectedInput) -> list[str]:
    terminals = getattr(error, "accepts", None) or getattr(error, "expected", None)
    terminals = terminals or getattr(error, "allowed", None) or set()
    descriptions = [
        TERMINAL_DESCRIPTIONS.get(each, each.lower()) for each in sorted(terminals)
    ]
    return list(dict.fromkeys(descriptions))


def _describe_error(text: str, error: UnexpectedInput) -> str:
    column = max(1, error.column) if error.column > 0 else len(text) + 1
    line = max(1, error.line) if error.line > 0 else text.count("\n") + 1
    source = text.split("\n")[line - 1] if text else ""
    at_end = isinstance(error, UnexpectedEOF) or _is_end(error)
    following = "" if at_end else source[column - 1 :].split(maxsplit=1)[:1]
    token_text = following[0] if following else ""
    if at_end:
        column = len(source) + 1
    expected = _list_expected(error)
    shown = ", ".join(expected[:MAX_EXPECTED_SHOWN])
    more = ", ..." if len(expected) > MAX_EXPECTED_SHOWN else ""
    matches = get_close_matches(token_text.lower(), KEYWORDS, n=1) if token_text else []
    hint = (
        f"; did you mean {matches[0]!r}?"
        if matches and matches[0] != token_text.lower()
        else ""
    )
    problem = f"unexpected {token_text!r}" if token_text else "unexpected end of input"
    pointer = " " * (column - 1) + "^"
    return (
        f"line {line}, column {column}: {problem}; expected {shown}{more}{hint}\n"
        f"  {source}\n  {pointer}"
    )


def _is_end(error: UnexpectedInput) -> bool:
    return isinstance(error, UnexpectedToken) and error.token.type == "$END"


def parse_statements(text: str) -> tuple[Statement, ...]:
    """Return the statements in ``text``; raises ``InvalidStatement``."""
    try:
        return _Builder().transform(PARSER.parse(text))
    except UnexpectedInput as error:
        raise InvalidStatement(_describe_error(text, error)) from error
    except VisitError as error:
        raise InvalidStatement(str(error.orig_exc)) from error
