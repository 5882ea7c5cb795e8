"""Invalid platform files, made from the settings of simulated clusters."""

from __future__ import annotations

from grebestand.simulation.single_controller_cluster import SETTINGS

#: a replacement (old and new text) in the settings, and a name that the error must contain
INVALID_SETTINGS = [
    (("lease_s = 20.0\n", ""), "lease_s"),
    (("lease_s = 20.0", "lease_s = -1.0"), "lease_s"),
    (("rps = 10000.0", 'rps = "x"'), "rps"),
    (('state = "127.0.0.1:4"', 'state = "nowhere"'), "outside.state"),
    (('serve_on = "127.0.0.1:1"', 'serve_on = "127.0.0.1:99999"'), "serve_on"),
    (('name = "blue"', 'name = "red"'), "teams"),
    (('zones = ["a", "b"]', "zones = []"), "zones"),
    (("[params]", "[params"), "TOML"),
]


def invalid_settings(change: tuple[str, str]) -> str:
    """Return the text of a settings file with one replacement."""
    return SETTINGS.replace(*change, 1)
