"""The platform's settings file: read and validated once at start; unknown fields are ignored."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterable

import msgspec

from ..errors import GrebestandError

MAX_PORT = 65535
#: smallest limit on the changes of a transaction with which every transaction of the program can be made
MIN_TRANSACTION_CHANGES = 4


class SettingsError(GrebestandError, ValueError):
    """The settings are not valid. The text is one line.

    Attributes:
        problem: What is wrong.
        subject: Name of the field or file at fault; None if `problem` names it.
    """

    def __init__(self, problem: str, subject: str | None = None) -> None:
        self.problem = problem
        self.subject = subject
        super().__init__(problem if subject is None else f"{subject}: {problem}")


class PeerAddress(msgspec.Struct, rename={"name": "host_name", "zone": "area"}):
    """Another controller.

    Attributes:
        name: Its name; `host_name` in the file.
        zone: Its zone; `area` in the file.
        address: Its address for other controllers, as `host:port`.
    """

    name: str
    zone: str
    address: str


class ServiceAddresses(msgspec.Struct):
    """Services that controllers depend on.

    Attributes:
        cloud: Address of the cloud, as `host:port`.
        state: Address of the key-value store, as `host:port`.
    """

    cloud: str
    state: str


class Team(msgspec.Struct):
    """The quotas of a team.

    Attributes:
        name: Name of the team.
        cpus: Processors that the team is guaranteed.
        cpus_max: Limit on the processors of the team, 0 for none.
        gpus: GPUs that the team is guaranteed.
        gpus_max: Limit on the GPUs of the team, 0 for none.
    """

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"klass": "class"}):
    """A service-level objective.

    Attributes:
        kind: What it is about: `wait`, `finished`, `deadline` and `guarantee` influence decisions, others are ignored.
        klass: Class of the jobs that it applies to, None if it is not about a class; `class` in the file.
        within_s: Time limit in seconds.
        share: Part of the jobs that should meet the limit, from 0 to 1.
        times: Limit as a multiple, of the job's deadline for instance.
    """

    kind: str
    klass: str | None = None
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimes(msgspec.Struct):
    """Times of the protocol with workers, in seconds.

    Attributes:
        report_s: Interval between two heartbeats.
        lease_s: Time without a response after which a worker's lease expires and its tasks are killed.
        gang_wait_s: Time that a task waits for its gang to become complete before it exits.
        gang_peer_s: Time after which a running task exits if another task of its gang is gone.
        cancel_s: Time within which a confirmed cancellation has to have stopped all tasks.
    """

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class StoreLimits(msgspec.Struct):
    """Limits of the key-value store.

    Attributes:
        rps: Requests per second, of all controllers together.
        write_rps: Changes per second, of all controllers together.
        value_kb: Size of a value in kilobytes.
        txn_ops: Changes in a transaction.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class CloudLimits(msgspec.Struct):
    """Limits of the cloud.

    Attributes:
        rps: Requests per second.
        list_lag_s: Seconds by which its list of machines may lag behind.
    """

    rps: float
    list_lag_s: float


class Quota(msgspec.Struct, rename={"cpu_share": "cpu", "max_connections": "sockets"}):
    """What the process of a controller may use.

    Attributes:
        cpu_share: Part of a processor; `cpu` in the file.
        memory_mb: Memory in megabytes.
        max_connections: Number of sockets; `sockets` in the file.
    """

    cpu_share: float = 1.0
    memory_mb: float = 256.0
    max_connections: int = 1000


class Params(msgspec.Struct, rename={"nodes": "count", "clock_off_ms": "skew_ms"}):
    """Parameters of the platform, the same for all controllers.

    Attributes:
        nodes: Number of controllers; `count` in the file.
        zones: Names of the zones.
        workers: Times of the protocol with workers.
        state: Limits of the key-value store.
        cloud: Limits of the cloud.
        clock_off_ms: Milliseconds by which clocks of different machines may differ; `skew_ms` in the file.
        teams: The teams with their quotas.
        objectives: The service-level objectives.
        quota: What the process of a controller may use.
    """

    nodes: int
    zones: list[str]
    workers: WorkerTimes
    state: StoreLimits
    cloud: CloudLimits
    clock_off_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: Quota = msgspec.field(default_factory=Quota)


class Settings(msgspec.Struct, rename={"name": "host_name", "zone": "area", "listen": "serve_on", "peers": "known"}):
    """The settings of one controller.

    Attributes:
        name: Name of the controller; `host_name` in the file.
        zone: Its zone; `area` in the file.
        listen: Address at which it serves users and workers, as `host:port`; `serve_on` in the file.
        peer_listen: Address at which it serves other controllers, as `host:port`.
        outside: Addresses of the services that it depends on.
        params: Parameters of the platform.
        peers: The other controllers; `known` in the file.
    """

    name: str
    zone: str
    listen: str
    peer_listen: str
    outside: ServiceAddresses
    params: Params
    peers: list[PeerAddress] = []


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Return the host and the port of an address of the form `host:port`.

    Raises:
        SettingsError: The address is malformed; `field` is the name of its field.
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"not an address of the form host:port: {text!r}", field)
    return host, int(port)


def load(path: str) -> Settings:
    """Return the settings of a file; raise `SettingsError` if it cannot be read or is not valid."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), path) from error
    return parse(text)


def parse(text: str) -> Settings:
    """Return the settings that a TOML text describes; raise `SettingsError` that names the first field at fault."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from error
    try:
        settings = msgspec.convert(raw, Settings, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error).replace("\n", " ")) from error
    _check_addresses(settings)
    _check_params(settings.params)
    _check_teams(settings.params.teams)
    return settings


def _check_addresses(settings: Settings) -> None:
    """Check that every address is well-formed."""
    parse_address(settings.listen, "serve_on")
    parse_address(settings.peer_listen, "peer_listen")
    parse_address(settings.outside.cloud, "outside.cloud")
    parse_address(settings.outside.state, "outside.state")
    for peer in settings.peers:
        parse_address(peer.address, "known.address")


def _check_params(params: Params) -> None:
    """Check that the parameters of the platform are in their ranges."""
    if not params.zones:
        raise SettingsError("must name at least one zone", "params.zones")
    for name, section in (("workers", params.workers), ("state", params.state), ("cloud", params.cloud)):
        for field in section.__struct_fields__:
            _check_positive(float(getattr(section, field)), f"params.{name}.{field}")
    if params.state.txn_ops < MIN_TRANSACTION_CHANGES:
        raise SettingsError(f"must be at least {MIN_TRANSACTION_CHANGES}", "params.state.txn_ops")
    _check_positive(params.quota.cpu_share, "params.quota.cpu")
    _check_positive(params.quota.memory_mb, "params.quota.memory_mb")
    _check_positive(params.quota.max_connections, "params.quota.sockets")


def _check_teams(teams: Iterable[Team]) -> None:
    """Check that the names of teams are unique and their quotas are not negative."""
    names: set[str] = set()
    for team in teams:
        if team.name in names:
            raise SettingsError(f"{team.name!r} is named twice", "params.teams")
        names.add(team.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, field)
            if not (math.isfinite(value) and value >= 0):
                raise SettingsError(f"must not be negative, not {value!r}", f"params.teams.{field}")


def _check_positive(value: float, field: str) -> None:
    """Check that a number is finite and positive."""
    if not (math.isfinite(value) and value > 0):
        raise SettingsError(f"must be a positive number, not {value!r}", field)
