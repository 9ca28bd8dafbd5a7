"""Generates ``structs.py`` from ``feed.thrift``.

Run it as ``python -m kestreltally.knowledge.idl``. Daemons import the generated module,
as parsing the IDL, for which a parser is built first, took an eighth of their start.
"""

from pathlib import Path
from typing import Any, Final

import thriftpy2
from thriftpy2.thrift import TType

FOLDER: Final = Path(__file__).parent
IDL_PATH: Final = FOLDER / "feed.thrift"
STRUCTS_PATH: Final = FOLDER / "structs.py"

HEAD: Final = '''"""The structs of ``feed.thrift``, written by ``idl.py``."""

from typing import TYPE_CHECKING, Any, ClassVar

from thriftpy2.thrift import TPayload, TType, gen_init


class Struct(TPayload):
    """Any struct: fields by number, and in their order with their defaults."""

    thrift_spec: ClassVar[dict[int, Any]]
    default_spec: ClassVar[list[tuple[str, Any]]]

    if TYPE_CHECKING:
        # Fields, and an __init__ that takes them, are made by ``gen_init``.
        def __init__(self, **fields: Any) -> None: ...

        def __getattr__(self, name: str) -> Any: ...

        def __setattr__(self, name: str, value: Any) -> None: ...


def define_fields(struct: type[Struct], spec: dict[int, Any]) -> None:
    """Give a struct its fields by number; all are optional, None by default."""
    struct.thrift_spec = spec
    struct.default_spec = [(field[1], None) for field in spec.values()]
    gen_init(struct, struct.thrift_spec, struct.default_spec)
'''


def render_structs() -> str:
    """Return the source of ``structs.py``."""
    idl = thriftpy2.load(str(IDL_PATH), module_name="feed_thrift")
    structs = idl.__thrift_meta__["structs"]
    return "\n\n".join([HEAD.rstrip("\n"), *(_render(each) for each in structs)]) + "\n"


def _render(struct: Any) -> str:
    name = struct.__name__
    lines = [
        f"\nclass {name}(Struct):",
        f'    """``{name}`` of the IDL."""\n\n',
        "define_fields(",
        f"    {name},",
        "    {",
        *(
            f"        {number}: {_render_field(field)},"
            for number, field in struct.thrift_spec.items()
        ),
        "    },",
        ")",
    ]
    return "\n".join(lines).replace("'", '"')


def _render_field(field: tuple[Any, ...]) -> str:
    """Return a field's type, name, element types, and that it is optional."""
    kind, name, *rest = field
    elements = f", {_render_elements(rest[0])}" if len(rest) > 1 else ""
    return f"({_name_type(kind)}, {name!r}{elements}, {rest[-1]!r})"


def _render_elements(elements: Any) -> str:
    """Return the element types of a list or a map, or the name of a struct."""
    if isinstance(elements, tuple):
        return "(" + ", ".join(_render_elements(each) for each in elements) + ")"
    return elements.__name__ if isinstance(elements, type) else _name_type(elements)


def _name_type(kind: int) -> str:
    return f"TType.{TType._VALUES_TO_NAMES[kind]}"


if __name__ == "__main__":
    STRUCTS_PATH.write_text(render_structs())
