"""The command line: one line for each error in a file, and exit codes."""

from __future__ import annotations

from pathlib import Path

import pytest

from grebestand.cli import main
from support.invalid_settings import INVALID_SETTINGS, invalid_settings


@pytest.mark.parametrize(("change", "name"), INVALID_SETTINGS)
def test_serve_names_invalid_settings_on_one_line(
    change: tuple[str, str], name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "s.toml"
    file.write_text(invalid_settings(change))
    assert main(["serve", "--config", str(file)]) != 0
    errors = capsys.readouterr().err
    assert errors.count("\n") == 1 and name in errors


def test_check_policy_lists_all_faults_of_all_files(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text('g = "3"\n')
    bad.write_text('g = "1 / 0"\nperiod_s = "x"\n')
    assert main(["check-policy", str(good)]) == 0
    assert main(["check-policy", str(good), str(bad)]) == 1
    errors = capsys.readouterr().err
    assert f"{bad}: g: column 5" in errors and f"{bad}: period_s: column 1" in errors
