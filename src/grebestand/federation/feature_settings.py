"""The settings file of federation: its expressions with their ranges, its plain fields, and their checks."""

from __future__ import annotations

import msgspec

from ..features.registry import PlainValues
from ..settings.expressions import ValidValues
from ..settings.platform import Settings, SettingsError, parse_address
from ..wire.jobs import PRIORITIES
from .messages import MAX_MESSAGE_BYTES, MAX_NAME_LENGTH

#: The names that expressions can use, each with its range.
NAMES: dict[str, tuple[float, float]] = {
    "waited_s": (0.0, 1e9),
    "guarantee_s": (0.0, 1e6),
    "gang_size": (1.0, 1e6),
    "gang_cpus": (0.0, 1e9),
    "zone_load": (0.0, 1.0),
    "clusters": (1.0, 1e3),
    "free_machines": (0.0, 1e6),
    "told_age_s": (0.0, 1e6),
    "has_image": (0.0, 1.0),
    "image_gb": (0.0, 1e9),
    "price": (0.0, 1e6),
    "report_s": (1e-3, 1e5),
}
#: Value of each name in expressions for which the name has no meaning: the low end of its range.
NAMES_WITHOUT_MEANING = {name: low for name, (low, _) in NAMES.items()}

#: The settings that are expressions, each with the valid range of its value.
KEYS: dict[str, ValidValues] = {
    "overflow_after_s": ValidValues(0, 1e9),
    "prefer": ValidValues(-1e9, 1e9),
    "offers_in_flight": ValidValues(1, 1000),
    "offers_per_s": ValidValues(0.01, 1000),
    "offers_per_gang": ValidValues(1, 1000),
    "ask_at_once": ValidValues(1, 8),
    "kilobytes_per_s": ValidValues(MAX_MESSAGE_BYTES / 1024, 1e6),
    "retry_share": ValidValues(0, 10),
    "look_s": ValidValues(0.2, 600),
    "reserve_s": ValidValues(1, 600),
    "give_back_s": ValidValues(1, 1e6),
    "most_reserved": ValidValues(0, 1000),
    "most_guests": ValidValues(0, 10_000),
    "guest_rank": ValidValues(0, len(PRIORITIES) - 1),
}
#: Default values of the settings.
DEFAULTS: dict[str, object] = {
    "overflow_after_s": "10 + 20 * (1 - zone_load) + guarantee_s",
    "prefer": "min(2, free_machines / gang_size) / (1 + told_age_s / 30) + has_image * min(1, image_gb / 10) - price",
    "offers_in_flight": 8,
    "offers_per_s": 4,
    "offers_per_gang": 12,
    "ask_at_once": "min(2, clusters)",
    "kilobytes_per_s": 256,
    "retry_share": 0.3,
    "look_s": 5,
    "reserve_s": "3 * report_s + 6",
    "give_back_s": 60,
    "most_reserved": 8,
    "most_guests": 64,
    "guest_rank": 3,
}
#: The plain settings, which are not expressions; they are the fields of `LocalSettings`.
PLAIN = frozenset({"cluster", "keys", "guests_team", "listen", "networks", "others"})


class RemoteClusterSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of another cluster.

    Attributes:
        name: Name of the other cluster.
        controllers: Addresses of the other cluster's controllers on the link, by controller name.
    """

    name: str
    controllers: dict[str, str]


class LocalSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The plain settings of this cluster, which are not expressions.

    Attributes:
        cluster: Name of this cluster.
        keys: Directory of keys, relative to the settings file.
        guests_team: Name of the team whose limit the tasks of guests count against; empty if no gangs are accepted.
        listen: Addresses of this cluster's controllers on the link, by controller name.
        networks: Networks from which other clusters connect, in CIDR notation.
        others: The other clusters.
    """

    cluster: str
    keys: str = ""
    guests_team: str = ""
    listen: dict[str, str] = {}
    networks: list[str] = []
    others: list[RemoteClusterSettings] = []


def read_plain_settings(plain: PlainValues, settings: Settings) -> LocalSettings:
    """Read and check the plain settings.

    Args:
        plain: The plain settings as they stand in the file.
        settings: The platform's settings.

    Returns:
        The checked settings.

    Raises:
        ExpressionError: A setting is invalid; the error names the field at fault.
    """
    try:
        local = msgspec.convert(plain.values, LocalSettings)
    except msgspec.ValidationError as error:
        field = str(error).rpartition("$.")[2].rstrip("`") if "$." in str(error) else "cluster"
        raise plain.fault(field, str(error)) from error
    if not 0 < len(local.cluster) <= MAX_NAME_LENGTH or not local.cluster.isprintable():
        raise plain.fault("cluster", "must be a name")
    _check_other_clusters(plain, local)
    for controller, address in local.listen.items():
        _check_address(plain, address, f"listen.{controller}")
    if local.others and settings.name not in local.listen:
        raise plain.fault("listen", f"has no address for this controller, {settings.name!r}")
    if local.others and not local.keys:
        raise plain.fault("keys", "must name the directory of this cluster's keys")
    if local.guests_team and all(team.name != local.guests_team for team in settings.params.teams):
        raise plain.fault("guests_team", f"no team of this cluster: {local.guests_team!r}")
    return local


def _check_other_clusters(plain: PlainValues, local: LocalSettings) -> None:
    names = {local.cluster}
    for other in local.others:
        if other.name in names:
            raise plain.fault(f"others.{other.name}", "named twice, or this cluster itself")
        names.add(other.name)
        if not other.controllers:
            raise plain.fault(f"others.{other.name}.controllers", "must name at least one address")
        for controller, address in other.controllers.items():
            _check_address(plain, address, f"others.{other.name}.controllers.{controller}")


def _check_address(plain: PlainValues, text: str, field: str) -> None:
    try:
        parse_address(text, field)
    except SettingsError as error:
        raise plain.fault(field, str(error)) from error
