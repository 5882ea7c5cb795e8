"""The times, limits, teams and machine types of a small deployment, with the settings files of its controllers."""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass, field
from pathlib import Path

from .web import HOST

PORT_RANGE = (20_000, 32_000)


@dataclass(frozen=True)
class Team:
    """A team with its guarantee and limit in CPUs."""

    name: str
    cpus: float
    cpus_max: float


@dataclass(frozen=True)
class MachineType:
    """A machine type as the cloud describes it."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    spot_price: float
    boot_s: float
    fetch_gb_per_s: float
    cache_gb: float


@dataclass(frozen=True)
class Site:
    """A deployment; times in seconds, rates per second."""

    name: str
    zones: tuple[str, ...]
    machine_type: MachineType
    teams: tuple[Team, ...]
    workers: dict[str, float]
    state: dict[str, float]
    cloud: dict[str, float]
    quota: dict[str, float]
    objectives: tuple[str, ...]
    restart_s: float
    state_delay_s: float
    skew_ms: float
    spot_notice_s: float
    addresses: dict[str, tuple[str, str]] = field(default_factory=dict)
    #: Further machine types that the cloud offers.
    other_types: tuple[MachineType, ...] = ()

    @property
    def machine_types(self) -> tuple[MachineType, ...]:
        """All machine types that the cloud offers."""
        return (self.machine_type, *self.other_types)


def detaxe_casa() -> Site:
    """Return the small refund deployment."""
    return Site(
        "detaxe-casa",
        ("casa-north", "marrakech-air", "tanger-port"),
        MachineType("atlas-rack", 16.0, 64.0, 0.66, 0.27, 35.0, 1.0, 70.0),
        tuple(Team(f"refunds-ops-{i:02}", 90.0, 270.0) for i in range(10)),
        {"report_s": 3.0, "lease_s": 21.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 51.0},
        {"rps": 250.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
        {"rps": 3.0, "list_lag_s": 8.0},
        {"cpu": 1.0, "memory_mb": 266.0, "sockets": 2000},
        ('kind = "guarantee"\nwithin_s = 10.0\nshare = 0.95',),
        4.0, 0.002, 1000.0, 15.0,
    )  # fmt: skip


def lonchera_uio() -> Site:
    """Return the small canteen deployment."""
    return Site(
        "lonchera-uio",
        ("cuenca-norte", "guayaquil-centro", "manta-puerto", "quito-sur"),
        MachineType("condor-grande", 32.0, 64.0, 1.55, 0.38, 50.0, 0.12, 50.0),
        tuple(Team(f"plataforma-{i:02}", 60.0, 216.0) for i in range(12)),
        {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 60.0},
        {"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 48},
        {"rps": 5.0, "list_lag_s": 5.0},
        {"cpu": 0.4, "memory_mb": 146.0, "sockets": 800},
        ('kind = "guarantee"\nwithin_s = 30.0\nshare = 0.88',),
        8.0, 0.005, 5.0, 20.0,
    )  # fmt: skip


def reserve_ports(count: int) -> list[socket.socket]:
    """Return sockets that keep free ports of loopback from others, below the range that the system hands out itself.

    A server that sets SO_REUSEADDR, as controllers do, can still listen on such a port.
    """
    reserved: list[socket.socket] = []
    rng = random.Random()
    while len(reserved) < count:
        probe = socket.socket()
        try:
            probe.bind((HOST, rng.randrange(*PORT_RANGE)))
        except OSError:
            probe.close()
            continue
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.append(probe)
    return reserved


def _value(number: float) -> str:
    return str(number) if isinstance(number, int) else repr(float(number))


def write_settings(site: Site, directory: Path, cloud: str, state: str, ports: list[int]) -> dict[str, str]:
    """Write a settings file for each controller into a directory; return the address of each for users and workers.

    Args:
        site: The deployment.
        directory: Where to write the files.
        cloud: Address of the cloud.
        state: Address of the state service.
        ports: Two free ports for each controller.
    """
    nodes = len(ports) // 2
    names = [f"berth-{i}" for i in range(nodes)]
    serve = {name: f"{HOST}:{port}" for name, port in zip(names, ports[:nodes], strict=True)}
    peers = {name: f"{HOST}:{port}" for name, port in zip(names, ports[nodes:], strict=True)}
    zone = {name: site.zones[i % len(site.zones)] for i, name in enumerate(names)}
    zones = ", ".join(f'"{name}"' for name in site.zones)
    params = f"[params]\ncount = {nodes}\nzones = [{zones}]\nskew_ms = {site.skew_ms}\n"
    for team in site.teams:
        params += f'[[params.teams]]\nname = "{team.name}"\ncpus = {team.cpus}\ncpus_max = {team.cpus_max}\n'
        params += "gpus = 0.0\ngpus_max = 0.0\n"
    for objective in site.objectives:
        params += f"[[params.objectives]]\n{objective}\n"
    tables = {"workers": site.workers, "state": site.state, "cloud": site.cloud, "quota": site.quota}
    for table, values in tables.items():
        params += f"[params.{table}]\n" + "".join(f"{key} = {_value(value)}\n" for key, value in values.items())
    for name in names:
        text = f'host_name = "{name}"\narea = "{zone[name]}"\nserve_on = "{serve[name]}"\n'
        text += f'peer_listen = "{peers[name]}"\n'
        for other in names:
            if other != name:
                text += f'[[known]]\nhost_name = "{other}"\narea = "{zone[other]}"\naddress = "{peers[other]}"\n'
        text += f'[outside]\ncloud = "{cloud}"\nstate = "{state}"\n{params}'
        (directory / f"{name}.toml").write_text(text)
    return serve
