"""Federation as a feature: what its file says, and how it stands in one controller."""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent.pool import Pool

from ..cluster_state.jobs import Job
from ..features.hooks import Features, Host, Listener
from ..features.registry import Feature, Plain
from ..leader.term import Term
from ..settings.expressions import Expressions, Rule, Vocabulary
from ..settings.platform import Settings, SettingsError, parse_address
from ..wire.jobs import PRIORITIES
from .circuit_breaker import CircuitBreaker
from .guest import GuestCluster, GuestLimits
from .home import HomeCluster
from .messages import MAX_MESSAGE_BYTES, MAX_NAME_LENGTH, FreeCapacity
from .overflow_limits import OverflowLimits
from .remote_cluster import Cluster, Link
from .tls_link import TlsLink, over_tls

log = logging.getLogger(__name__)

RECALL = "/federation/recall"
#: greenlets that wait for other clusters at a time
WORKERS = 32
#: how old the zones' loads may be, in seconds: adding them up goes over all machines
LOADS_S = 1.0

#: names of expressions, and what they are where they mean nothing
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
_REST = {name: low for name, (low, _) in NAMES.items()}

KEYS: dict[str, Rule] = {
    "overflow_after_s": Rule(0, 1e9),
    "prefer": Rule(-1e9, 1e9),
    "offers_in_flight": Rule(1, 1000),
    "offers_per_s": Rule(0.01, 1000),
    "offers_per_gang": Rule(1, 1000),
    "ask_at_once": Rule(1, 8),
    "kilobytes_per_s": Rule(MAX_MESSAGE_BYTES / 1024, 1e6),
    "retry_share": Rule(0, 10),
    "look_s": Rule(0.2, 600),
    "reserve_s": Rule(1, 600),
    "give_back_s": Rule(1, 1e6),
    "most_reserved": Rule(0, 1000),
    "most_guests": Rule(0, 10_000),
    "guest_rank": Rule(0, len(PRIORITIES) - 1),
}
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
PLAIN = frozenset({"cluster", "keys", "guests_team", "listen", "networks", "others"})


class RemoteClusterSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Another cluster as the file names it: the controllers' addresses on the link."""

    name: str
    controllers: dict[str, str]


class LocalLoad(msgspec.Struct, forbid_unknown_fields=True):
    """The file's plain keys."""

    cluster: str
    keys: str = ""
    guests_team: str = ""
    #: this cluster's controllers' own addresses on the link
    listen: dict[str, str] = {}
    networks: list[str] = []
    others: list[RemoteClusterSettings] = []


def _told(plain: Plain, settings: Settings) -> LocalLoad:
    """The plain keys, checked; `ExpressionError` names the key at fault."""
    try:
        told = msgspec.convert(plain.values, LocalLoad)
    except msgspec.ValidationError as e:
        where = str(e).rpartition("$.")[2].rstrip("`") if "$." in str(e) else "cluster"
        raise plain.fault(where, str(e)) from e
    if not 0 < len(told.cluster) <= MAX_NAME_LENGTH or not told.cluster.isprintable():
        raise plain.fault("cluster", "must be a name")
    names = [o.name for o in told.others]
    for at, other in enumerate(told.others):
        if other.name == told.cluster or other.name in names[:at]:
            raise plain.fault(f"others.{other.name}", "named twice, or this cluster itself")
        if not other.controllers:
            raise plain.fault(f"others.{other.name}.controllers", "must name at least one address")
        for controller, address in other.controllers.items():
            _address(plain, address, f"others.{other.name}.controllers.{controller}")
    for controller, address in told.listen.items():
        _address(plain, address, f"listen.{controller}")
    if told.others and settings.name not in told.listen:
        raise plain.fault("listen", f"has no address for this controller, {settings.name!r}")
    if told.others and not told.keys:
        raise plain.fault("keys", "must name the directory of this cluster's keys")
    if told.guests_team and all(t.name != told.guests_team for t in settings.params.teams):
        raise plain.fault("guests_team", f"no team of this cluster: {told.guests_team!r}")
    return told


def _address(plain: Plain, text: str, key: str) -> tuple[str, int]:
    try:
        return parse_address(text, key)
    except SettingsError as e:
        raise plain.fault(key, str(e)) from e


class Federation:
    """One controller's part in it: the link's door always, home and guest while it leads."""

    def __init__(
        self,
        values: Expressions,
        settings: Settings,
        told: LocalLoad,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        spawn: Callable[[Callable[[], None]], None] | None = None,
    ) -> None:
        """`clock`, `rng` and `spawn` are a process's own unless somebody plays time."""
        self.values = values
        self.settings = settings
        self.told = told
        self.clock = clock
        self.rng = rng if rng is not None else random.Random()
        self.spawn = spawn if spawn is not None else self._spawn
        self.host: Host | None = None
        self.home: HomeCluster | None = None
        self.guest: GuestCluster | None = None
        self.term: Term | None = None
        self.pool = Pool(WORKERS)
        #: the share of each zone's CPUs in use, and when it was added up
        self._loads: dict[int, float] = {}
        self._loads_at = -math.inf
        self.links: dict[str, Link] = {}
        self.breakers = {o.name: CircuitBreaker(o.name, self.clock, self.rng) for o in told.others}
        waits = [o.within_s for o in settings.params.objectives if o.kind == "guarantee" and o.within_s is not None]
        self.rest = {
            **_REST,
            "clusters": float(max(1, len(told.others))),
            "report_s": settings.params.workers.report_s,
            "guarantee_s": min(waits, default=0.0),
        }

    # hooks ------------------------------------------------------------------------------------------------

    def take_host(self, host: Host) -> None:
        """Keep the controller that this feature is part of."""
        self.host = host

    def begin(self, term: Any) -> None:
        """A new term of this controller: what is abroad and who is a guest is read from the records."""
        assert isinstance(term, Term) and self.host is not None
        v = {key: self.values.value(key, self.rest) for key in KEYS}
        limits = OverflowLimits(
            overflow_after_s=self.overflow_after_s,
            max_offers_in_flight=int(v["offers_in_flight"]),
            offers_per_s=v["offers_per_s"],
            max_clusters_at_once=int(v["ask_at_once"]),
            max_offers_per_gang=int(v["offers_per_gang"]),
            retry_share=v["retry_share"],
            bytes_per_s=1024 * v["kilobytes_per_s"],
            probe_interval_s=v["look_s"],
            prefer=self.prefer,
        )
        clusters = [Cluster(name, link, self.breakers[name]) for name, link in self.links.items()]
        guests = GuestLimits(
            frozenset(o.name for o in self.told.others) if self.told.guests_team else frozenset(),
            self.told.guests_team,
            PRIORITIES[int(v["guest_rank"])],
            v["reserve_s"],
            v["give_back_s"],
            int(v["most_reserved"]),
            int(v["most_guests"]),
        )
        home = HomeCluster(self.told.cluster, term, clusters, limits, self.rng, self.spawn)
        guest = GuestCluster(self.told.cluster, term, guests, self.host.cancel)
        self.home, self.guest, self.term = home, guest, term

    def _spawn(self, work: Any) -> None:
        if self.pool.full():
            # every greenlet waits for somebody: what cannot be asked now is asked at its next turn
            gevent.sleep(0.05)
        self.pool.spawn(work)

    def _leads(self) -> bool:
        return self.host is not None and self.term is not None and self.host.present() is self.term

    def step(self) -> None:
        """One round of both sides, while this controller leads."""
        if self._leads() and self.home is not None and self.guest is not None:
            self.guest.step()
            self.home.step()

    def answer(self) -> Any:
        """The guest's side of the present term; None where this controller does not lead."""
        return self.guest.answer if self._leads() and self.guest is not None else None

    def recall(self, ref: str) -> None:
        """Call a cancelled gang back from another cluster, here or through the leader."""
        if self._leads() and self.home is not None:
            self.home.recall(ref)
        elif self.host is not None:
            self.host.ask_leader(RECALL, ref.encode())

    def take_recall(self, body: bytes) -> bytes:
        """Another controller of this cluster was asked to cancel a gang that is abroad."""
        if self._leads() and self.home is not None:
            self.home.recall(body[:64].decode("ascii", "replace"))
        return b""

    def leader(self) -> str | None:
        """The name of the controller that leads this cluster, as far as it is known."""
        return self.host.leader() if self.host is not None else None

    # expressions ------------------------------------------------------------------------------------------

    def _names(self, job: Job, **more: float) -> dict[str, float]:
        """What an expression about a gang may use."""
        gang = {"gang_size": float(job.spec.tasks), "gang_cpus": job.spec.cpus * job.spec.tasks}
        return {**self.rest, **gang, **more}

    def overflow_after_s(self, job: Job, now: float) -> float:
        """Seconds that a gang waits before it is offered to other clusters, by the operators' expression."""
        names = self._names(job, waited_s=now - job.accepted_at, zone_load=self._zone_load(job))
        return self.values.value("overflow_after_s", names)

    def _zone_load(self, job: Job) -> float:
        """The share of CPUs in use in the zone where least is: the gang's own, if it has to be one."""
        assert self.term is not None
        now = self.clock()
        if now - self._loads_at >= LOADS_S:
            self._loads_at = now
            used: dict[int, list[int]] = {}
            for m in self.term.inventory.machines:
                zone = used.setdefault(m.zone, [0, 0])
                zone[0] += m.used[0]
                zone[1] += m.capacity[0]
            self._loads = {z: a / b for z, (a, b) in used.items() if b}
        if job.zone >= 0:
            return self._loads.get(job.zone, 1.0)
        return min(self._loads.values(), default=1.0)

    def prefer(self, job: Job, room: FreeCapacity, age_s: float) -> float:
        """How much a cluster is preferred for a gang, by the operators' expression."""
        names = self._names(
            job,
            free_machines=float(room.free),
            told_age_s=age_s,
            has_image=float(job.spec.image in room.images),
            image_gb=job.spec.image_gb,
            price=room.price,
        )
        return self.values.value("prefer", names)


def make(values: Expressions, settings: Settings, plain: Plain) -> Features:
    """With no other clusters, nothing is listened to and no library of the link's is imported."""
    told = _told(plain, settings)
    f = Federation(values, settings, told)
    listeners: list[Listener] = []
    if told.others:
        from .allowed_networks import AllowedNetworks, NetworkListError
        from .keyring import Keyring, KeyringError
        from .link_server import LinkAdmission, LinkServer

        try:
            networks = AllowedNetworks(told.networks)
        except NetworkListError as e:
            raise plain.fault("networks", str(e)) from e
        root = Path(plain.file).parent / told.keys
        try:
            ring = Keyring(root, told.cluster, f.clock)
        except KeyringError as e:
            raise plain.fault("keys", str(e)) from e
        for o in told.others:
            addresses = {name: parse_address(a, "others") for name, a in o.controllers.items()}
            connect = over_tls(o.name, ring)
            f.links[o.name] = TlsLink(addresses, connect, lambda ring=ring: ring.edition, f.clock, f.rng)  # type: ignore[misc]
        door = LinkServer(ring, f.answer, f.leader, f.clock)
        gate = LinkAdmission(networks, ring, f.clock)
        listeners.append(Listener(told.listen[settings.name], "listen", door.app, 40, gate))
    return Features(
        ["federation"],
        messages={RECALL: f.take_recall},
        listeners=listeners,
        steps=[(f.step, 0.2)],
        hosts=[f.take_host],
        terms=[f.begin],
        recalls=[f.recall],
    )


FEATURE = Feature(Vocabulary(KEYS, NAMES), DEFAULTS, make, PLAIN)
