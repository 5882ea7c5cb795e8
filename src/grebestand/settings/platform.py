"""The platform's settings file: validated once at start, unknown fields ignored."""

from __future__ import annotations

import math
import tomllib

import msgspec


class SettingsError(ValueError):
    """One line that names the field at fault."""


class PeerAddress(msgspec.Struct, rename={"name": "host_name", "zone": "area"}):
    name: str
    zone: str
    address: str


class ServiceAddresses(msgspec.Struct):
    cloud: str
    state: str


class Team(msgspec.Struct):
    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"klass": "class"}):
    kind: str
    klass: str | None = None
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class State(msgspec.Struct):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class Cloud(msgspec.Struct):
    rps: float
    list_lag_s: float


class Quota(msgspec.Struct, rename={"cpu_share": "cpu", "max_connections": "sockets"}):
    cpu_share: float = 1.0
    memory_mb: float = 256.0
    max_connections: int = 1000


class Params(msgspec.Struct, rename={"nodes": "count", "clock_off_ms": "skew_ms"}):
    nodes: int
    zones: list[str]
    workers: Workers
    state: State
    cloud: Cloud
    clock_off_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: Quota = msgspec.field(default_factory=Quota)


class Settings(msgspec.Struct, rename={"name": "host_name", "zone": "area", "listen": "serve_on", "peers": "known"}):
    name: str
    zone: str
    listen: str
    peer_listen: str
    outside: ServiceAddresses
    params: Params
    peers: list[PeerAddress] = []


def parse_address(text: str, field: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: not an address of the form host:port: {text!r}")
    return host, int(port)


def _positive(value: float, field: str) -> None:
    if not (math.isfinite(value) and value > 0):
        raise SettingsError(f"{field}: must be a positive number, not {value!r}")


def parse(text: str) -> Settings:
    """Settings from the file's text; raises `SettingsError` naming the first field at fault."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as e:
        raise SettingsError(f"not TOML: {e}") from e
    try:
        settings = msgspec.convert(raw, Settings, strict=True)
    except msgspec.ValidationError as e:
        raise SettingsError(str(e).replace("\n", " ")) from e
    parse_address(settings.listen, "serve_on")
    parse_address(settings.peer_listen, "peer_listen")
    parse_address(settings.outside.cloud, "outside.cloud")
    parse_address(settings.outside.state, "outside.state")
    for peer in settings.peers:
        parse_address(peer.address, "known.address")
    p = settings.params
    if not p.zones:
        raise SettingsError("params.zones: must name at least one zone")
    for name, section in (("workers", p.workers), ("state", p.state), ("cloud", p.cloud)):
        for field in section.__struct_fields__:
            _positive(float(getattr(section, field)), f"params.{name}.{field}")
    if p.state.txn_ops < 4:
        raise SettingsError("params.state.txn_ops: must be at least 4")
    _positive(p.quota.cpu_share, "params.quota.cpu")
    _positive(p.quota.memory_mb, "params.quota.memory_mb")
    _positive(p.quota.max_connections, "params.quota.sockets")
    seen: set[str] = set()
    for team in p.teams:
        if team.name in seen:
            raise SettingsError(f"params.teams: {team.name!r} is named twice")
        seen.add(team.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, field)
            if not (math.isfinite(value) and value >= 0):
                raise SettingsError(f"params.teams.{field}: must not be negative, not {value!r}")
    return settings


def load(path: str) -> Settings:
    try:
        with open(path, "rb") as f:
            text = f.read().decode("utf-8")
    except (OSError, UnicodeDecodeError) as e:
        raise SettingsError(f"{path}: {e}") from e
    return parse(text)
