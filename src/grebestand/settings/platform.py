"""The platform's settings file, which is read and checked once when the process starts; unknown fields are ignored."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterable

import msgspec

from ..errors import GrebestandError

MAX_PORT = 65535
#: smallest allowed `txn_ops` of the store; some transactions of the program would exceed a lower limit
MIN_TRANSACTION_CHANGES = 4


class SettingsError(GrebestandError, ValueError):
    """The settings are not valid; the error text is one line.

    Attributes:
        problem: Description of the fault.
        subject: Name of the invalid field or file; None if `problem` contains the name.
    """

    def __init__(self, problem: str, subject: str | None = None) -> None:
        self.problem = problem
        self.subject = subject
        super().__init__(problem if subject is None else f"{subject}: {problem}")


class PeerAddress(msgspec.Struct, rename={"name": "host_name", "zone": "area"}):
    """The name, zone and address of another controller.

    Attributes:
        name: Name of the controller; `host_name` in the file.
        zone: Zone of the controller; `area` in the file.
        address: Address at which the controller serves other controllers, as `host:port`.
    """

    name: str
    zone: str
    address: str


class ServiceAddresses(msgspec.Struct):
    """Addresses of the services that controllers depend on.

    Attributes:
        cloud: Address of the cloud, as `host:port`.
        state: Address of the key-value store, as `host:port`.
    """

    cloud: str
    state: str


class Team(msgspec.Struct):
    """The guarantees and limits of a team.

    Attributes:
        name: Name of the team.
        cpus: Number of processors that the team is guaranteed.
        cpus_max: Largest number of processors that the team may use, 0 for no limit.
        gpus: Number of GPUs that the team is guaranteed.
        gpus_max: Largest number of GPUs that the team may use, 0 for no limit.
    """

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"klass": "class"}):
    """A service-level objective.

    Attributes:
        kind: Kind of the objective. `wait`, `finished`, `deadline` and `guarantee` influence scheduling, other
            kinds are ignored.
        klass: Class of the jobs that the objective applies to, None if it does not depend on a class; `class` in the
            file.
        within_s: Time limit in seconds.
        share: Fraction of the jobs that should meet the limit, from 0 to 1.
        times: Limit as a multiple of another time, for example of the job's deadline.
    """

    kind: str
    klass: str | None = None
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimes(msgspec.Struct):
    """Intervals and timeouts of the protocol with workers, in seconds.

    Attributes:
        report_s: Interval between two heartbeats.
        lease_s: Time without a response to a heartbeat after which a worker's lease expires and its tasks are killed.
        gang_wait_s: Time after which a task exits if not all tasks of its gang are ready.
        gang_peer_s: Time after which a running task exits if another task of its gang is missing.
        cancel_s: Time within which all tasks of a job have to be stopped after its cancellation was confirmed.
    """

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class StoreLimits(msgspec.Struct):
    """Limits that the key-value store imposes on its clients.

    Attributes:
        rps: Most requests per second from all controllers together.
        write_rps: Most changes per second from all controllers together.
        value_kb: Largest size of a value in kilobytes.
        txn_ops: Largest number of changes in a transaction.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int


class CloudLimits(msgspec.Struct):
    """Limits of the cloud API.

    Attributes:
        rps: Most requests per second.
        list_lag_s: Largest delay until a change appears in the list of rented machines, in seconds.
    """

    rps: float
    list_lag_s: float


class ProcessLimits(msgspec.Struct, rename={"cpu_share": "cpu", "max_connections": "sockets"}):
    """Limits on the resources used by the process of a controller.

    Attributes:
        cpu_share: Largest fraction of one processor; `cpu` in the file.
        memory_mb: Largest amount of memory in megabytes.
        max_connections: Largest number of sockets; `sockets` in the file.
    """

    cpu_share: float = 1.0
    memory_mb: float = 256.0
    max_connections: int = 1000


class PlatformParams(msgspec.Struct, rename={"nodes": "count", "clock_off_ms": "skew_ms"}):
    """Parameters of the platform that are the same for all controllers.

    Attributes:
        nodes: Number of controllers; `count` in the file.
        zones: Names of the zones.
        workers: Intervals and timeouts of the protocol with workers.
        state: Limits of the key-value store.
        cloud: Limits of the cloud API.
        clock_off_ms: Largest difference between the clocks of two machines, in milliseconds; `skew_ms` in the file.
        teams: The teams with their guarantees and limits.
        objectives: The service-level objectives.
        quota: Limits on the resources used by the process of each controller.
    """

    nodes: int
    zones: list[str]
    workers: WorkerTimes
    state: StoreLimits
    cloud: CloudLimits
    clock_off_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    quota: ProcessLimits = msgspec.field(default_factory=ProcessLimits)


class Settings(msgspec.Struct, rename={"name": "host_name", "zone": "area", "listen": "serve_on", "peers": "known"}):
    """The settings of one controller.

    Attributes:
        name: Name of the controller; `host_name` in the file.
        zone: Zone of the controller; `area` in the file.
        listen: Address at which the controller serves users and workers, as `host:port`; `serve_on` in the file.
        peer_listen: Address at which the controller serves other controllers, as `host:port`.
        outside: Addresses of the services that the controller depends on.
        params: Parameters that are the same for all controllers.
        peers: The other controllers; `known` in the file.
    """

    name: str
    zone: str
    listen: str
    peer_listen: str
    outside: ServiceAddresses
    params: PlatformParams
    peers: list[PeerAddress] = []


def parse_address(text: str, field: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Args:
        text: The address, expected as `host:port`.
        field: Name of the settings field that contains the address, for the error text.

    Raises:
        SettingsError: The address does not have the form `host:port`, or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"expected an address of the form host:port, found {text!r}", field)
    return host, int(port)


def load(path: str) -> Settings:
    """Return the settings in a file; raise `SettingsError` if the file cannot be read or is not valid."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), path) from error
    return parse(text)


def parse(text: str) -> Settings:
    """Return the settings in a TOML text; raise `SettingsError` with the first invalid field if they are not valid."""
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


def _check_params(params: PlatformParams) -> None:
    """Check that the parameters of the platform are within their allowed ranges."""
    if not params.zones:
        raise SettingsError("must name at least one zone", "params.zones")
    for name, section in (("workers", params.workers), ("state", params.state), ("cloud", params.cloud)):
        for field in section.__struct_fields__:
            _check_positive(float(getattr(section, field)), f"params.{name}.{field}")
    if params.state.txn_ops < MIN_TRANSACTION_CHANGES:
        raise SettingsError(
            f"must be at least {MIN_TRANSACTION_CHANGES}, found {params.state.txn_ops}", "params.state.txn_ops"
        )
    _check_positive(params.quota.cpu_share, "params.quota.cpu")
    _check_positive(params.quota.memory_mb, "params.quota.memory_mb")
    _check_positive(params.quota.max_connections, "params.quota.sockets")


def _check_teams(teams: Iterable[Team]) -> None:
    """Check that the names of teams are unique, and that their guarantees and limits are not negative."""
    names: set[str] = set()
    for team in teams:
        if team.name in names:
            raise SettingsError(f"expected unique names of teams, found {team.name!r} twice", "params.teams")
        names.add(team.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, field)
            if not (math.isfinite(value) and value >= 0):
                raise SettingsError(f"must be finite and not negative, found {value!r}", f"params.teams.{field}")


def _check_positive(value: float, field: str) -> None:
    """Check that a number is finite and positive."""
    if not (math.isfinite(value) and value > 0):
        raise SettingsError(f"must be finite and positive, found {value!r}", field)
