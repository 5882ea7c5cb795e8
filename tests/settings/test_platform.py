"""The platform's settings file: an error contains the name of the invalid field, and unknown fields are ignored."""

from __future__ import annotations

import pytest

from grebestand.settings.platform import SettingsError, parse
from grebestand.simulation.single_controller_cluster import SETTINGS
from support.invalid_settings import INVALID_SETTINGS, invalid_settings


@pytest.mark.parametrize(("change", "name"), INVALID_SETTINGS)
def test_error_names_the_invalid_field(change: tuple[str, str], name: str) -> None:
    with pytest.raises(SettingsError, match=name):
        parse(invalid_settings(change))


def test_unknown_settings_are_ignored() -> None:
    assert parse("unknown = 3\n" + SETTINGS + "\n[params.later]\nx = 1\n").params.nodes == 1
