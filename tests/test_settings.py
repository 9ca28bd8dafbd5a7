"""Settings are validated: an error is one line with file, key, value and rule."""

from pathlib import Path
from typing import Any

import pytest
import yaml
from click.testing import CliRunner

from kestreltally.daemon import main
from kestreltally.settings import InvalidSettings, check_settings, load_settings

EXAMPLE = Path(__file__).parent.parent / "examples" / "kestreltallyd.yaml"


def test_the_example_is_valid() -> None:
    assert load_settings(EXAMPLE).placement.loads_at_once == 4


INVALID = {
    "unknown key": ({"colour": 1}, "colour: unknown key"),
    "unknown key inside": ({"timing": {"tok": 1}}, "timing.tok: unknown key"),
    "wrong type": ({"data_centre": 3}, "data_centre = 3"),
    "out of range": ({"callers": {"host": "h", "port": 0}}, "callers.port = 0"),
    "periods in the wrong order": (
        {"timing": {"ack_timeout": 9.0}},
        "timing.ack_timeout: must be below timing.heartbeat",
    ),
    "policy without a name": ({"placement": {"policy": "x"}}, "allowed are affinity"),
}


@pytest.mark.parametrize("name", INVALID)
def test_errors_name_the_invalid_key(name: str, tmp_path: Path) -> None:
    changes, expected = INVALID[name]
    plain: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())
    path = tmp_path / "bad.yaml"
    path.write_text(yaml.safe_dump({**plain, **changes}))
    result = CliRunner().invoke(main, ["--settings", str(path), "--check"])
    assert result.exit_code == 2
    assert str(path) in result.output and expected in result.output
    assert len(result.output.strip().splitlines()) == 1


@pytest.mark.parametrize("text", ["- a list", "{", ""])
def test_a_file_without_a_mapping_is_rejected(text: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(InvalidSettings, match="bad.yaml"):
        load_settings(path)


def test_a_missing_file_is_named() -> None:
    with pytest.raises(InvalidSettings, match=r"/nowhere\.yaml: cannot be read"):
        load_settings(Path("/nowhere.yaml"))


def test_missing_key_is_named() -> None:
    with pytest.raises(InvalidSettings, match="data_centre"):
        check_settings({"vm": "a"}, "x")
