"""Tests that names used outside the process (in messages, stored data, files, settings and logs) stay unchanged.

`python3 tests/test_outer_names.py` regenerates both fixtures. Run it only after changing such a name on purpose.
"""

from __future__ import annotations

import json

import pytest

from support import outer_names

OUTPUTS = outer_names.FIXTURES / "outputs.json"
NAMES = outer_names.OUTER_NAMES.read_text("utf-8").splitlines() if outer_names.OUTER_NAMES.exists() else []
SEARCHED = [*outer_names.SOURCES.rglob("*.py"), *outer_names.SOURCES.rglob("*.toml")]
SEARCHED += [*(outer_names.ROOT / "deploy").glob("*.toml"), *(outer_names.ROOT / "tools").glob("*")]


@pytest.fixture(scope="module")
def code() -> str:
    return "\n".join(path.read_text("utf-8") for path in SEARCHED if path.is_file())


@pytest.mark.parametrize("section", sorted(outer_names.outputs()))
def test_logs_reports_and_files_keep_their_names(section: str) -> None:
    kept = json.loads(OUTPUTS.read_text("utf-8"))
    assert json.loads(json.dumps(outer_names.outputs()[section])) == kept[section]


def test_the_list_of_outer_names_is_that_of_the_code() -> None:
    assert outer_names.outer_names() == NAMES


def test_each_outer_name_stands_in_the_code(code: str) -> None:
    tails = {name: name.rpartition(".")[2].removesuffix("[]").partition("=")[2 if "=" in name else 0] for name in NAMES}
    assert NAMES and [name for name, tail in tails.items() if name not in code and tail not in code] == []


if __name__ == "__main__":
    OUTPUTS.write_text(json.dumps(outer_names.outputs(), indent=1) + "\n", "utf-8")
    outer_names.OUTER_NAMES.write_text("".join(f"{name}\n" for name in outer_names.outer_names()), "utf-8")
