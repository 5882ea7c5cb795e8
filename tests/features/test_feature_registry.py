"""The files that enable features: errors contain the file, the key and the column."""

from __future__ import annotations

from pathlib import Path

import pytest

from grebestand.cli import main
from grebestand.features.registry import load, read_file_list
from grebestand.settings.expressions import ExpressionError
from grebestand.simulation.single_controller_cluster import SETTINGS, InMemoryCluster

KNOWN = {"curfew": "support.tiny_feature"}


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("most_tasks = 3\n", "curfew.toml: feature: column 1: must name the feature"),
        ('feature = "budget"\n', "curfew.toml: feature: column 1: unknown feature 'budget' (known: curfew)"),
        ('feature = "curfew"\nmost = 1\n', "curfew.toml: most: column 1: unknown setting (known: most_tasks)"),
        ('feature = "curfew"\nmost_tasks = "2 + machines"\n', "curfew.toml: most_tasks: column 5: unknown name"),
        ('feature = "curfew"\nmost_tasks = "5 / teams"\n', "curfew.toml: most_tasks: column 5: this division can fail"),
        ("feature = [\n", "curfew.toml: -: column 1: not TOML"),
    ],
)
def test_fault_of_a_feature_file_names_file_key_and_column(tmp_path: Path, text: str, fault: str) -> None:
    file = tmp_path / "curfew.toml"
    file.write_text(text)
    with pytest.raises(ExpressionError) as caught:
        load([str(file)], InMemoryCluster().settings, KNOWN)
    assert str(caught.value.faults[0]).removeprefix(f"{tmp_path}/").startswith(fault)


def test_error_for_an_unknown_feature_lists_the_known_features(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config, unknown = tmp_path / "settings.toml", tmp_path / "unknown.toml"
    config.write_text(SETTINGS)
    unknown.write_text('feature = "unknown"\n')
    assert main(["serve", "--config", str(config), "--with", str(unknown)]) == 2
    errors = capsys.readouterr().err
    assert errors.startswith(f"grebestand: feature: {unknown}: feature: column 1: unknown feature 'unknown' (known: ")
    assert errors.count("\n") == 1


def test_listed_paths_are_relative_to_the_list_file(tmp_path: Path) -> None:
    file = tmp_path / "features.toml"
    file.write_text('with = ["curfew.toml"]\n')
    assert read_file_list(str(file)) == [str(tmp_path / "curfew.toml")]


def test_value_that_is_not_a_list_is_refused(tmp_path: Path) -> None:
    file = tmp_path / "features.toml"
    file.write_text('with = "curfew.toml"\n')
    with pytest.raises(ExpressionError, match="with: column 1: must be a list of files"):
        read_file_list(str(file))
