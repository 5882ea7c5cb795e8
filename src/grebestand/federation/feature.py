"""Federation as a feature of a controller: ties its settings, the link, home and guest to the controller's hooks."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent.pool import Pool

from ..cluster_state.jobs import Job
from ..features.hooks import Features, Host, Listener
from ..features.registry import Feature, PlainValues
from ..leader.term import Term
from ..settings.expressions import Expressions, Vocabulary
from ..settings.platform import Settings, parse_address
from ..wire.jobs import PRIORITIES
from .circuit_breaker import CircuitBreaker
from .feature_settings import (
    DEFAULTS,
    KEYS,
    NAMES,
    NAMES_WITHOUT_MEANING,
    PLAIN,
    LocalSettings,
    RemoteClusterSettings,
    read_plain_settings,
)
from .guest import GuestCluster, GuestLimits
from .home import HomeCluster
from .messages import FreeCapacity
from .overflow_limits import OverflowLimits
from .remote_cluster import Link, RemoteCluster
from .tls_link import TlsLink, tls_connector

__all__ = [
    "DEFAULTS",
    "FEATURE",
    "KEYS",
    "NAMES",
    "PLAIN",
    "RECALL_PATH",
    "Federation",
    "LocalSettings",
    "RemoteClusterSettings",
]

RECALL_PATH = "/federation/recall"
#: greenlets that wait for other clusters at a time
MAX_LINK_GREENLETS = 32
#: how long to wait before a greenlet is started while all of them are busy, in seconds
POOL_FULL_PAUSE_S = 0.05
#: how old the zones' loads may be, in seconds: adding them up visits all machines
LOADS_VALID_S = 1.0
#: the pause between two steps of the leader, in seconds
STEP_PAUSE_S = 0.2
#: connections of other clusters at a time
MAX_LINK_CONNECTIONS = 40
#: the longest job id that is read from a recall, in bytes
MAX_RECALL_BYTES = 64
BYTES_PER_KILOBYTE = 1024


class Federation:
    """One controller's part in federation: the link's server always, home and guest while it leads."""

    def __init__(
        self,
        values: Expressions,
        settings: Settings,
        local: LocalSettings,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        spawn: Callable[[Callable[[], None]], None] | None = None,
    ) -> None:
        """Start without a term.

        Args:
            values: the settings that are expressions.
            settings: the platform's settings.
            local: the plain settings.
            clock: a steady clock, in seconds.
            rng: draws pauses and orders; one with a random seed if not given.
            spawn: runs a function that waits for another cluster; in a pool of greenlets if not given.
        """
        self.values = values
        self.settings = settings
        self.local = local
        self.clock = clock
        self.rng = rng if rng is not None else random.Random()
        self.spawn = spawn if spawn is not None else self._spawn_in_pool
        self.host: Host | None = None
        self.home: HomeCluster | None = None
        self.guest: GuestCluster | None = None
        self.term: Term | None = None
        self.pool = Pool(MAX_LINK_GREENLETS)
        #: the share of each zone's CPUs in use, and when it was added up
        self._zone_loads: dict[int, float] = {}
        self._zone_loads_at = -math.inf
        self.links: dict[str, Link] = {}
        self.breakers = {other.name: CircuitBreaker(other.name, self.clock, self.rng) for other in local.others}
        guarantees_s = [
            objective.within_s
            for objective in settings.params.objectives
            if objective.kind == "guarantee" and objective.within_s is not None
        ]
        #: the values of names that are the same for every gang, or have no meaning
        self.fixed_names = {
            **NAMES_WITHOUT_MEANING,
            "clusters": float(max(1, len(local.others))),
            "report_s": settings.params.workers.report_s,
            "guarantee_s": min(guarantees_s, default=0.0),
        }

    # hooks ------------------------------------------------------------------------------------------------

    def attach_host(self, host: Host) -> None:
        """Keep the controller that this feature is part of."""
        self.host = host

    def begin_term(self, term: Any) -> None:
        """Begin a term of this controller: gangs abroad and guests are read from the records.

        Raises:
            StoreError: the store could not be reached.
        """
        assert isinstance(term, Term) and self.host is not None
        values = {key: self.values.value(key, self.fixed_names) for key in KEYS}
        clusters = [RemoteCluster(name, link, self.breakers[name]) for name, link in self.links.items()]
        home = HomeCluster(self.local.cluster, term, clusters, self._overflow_limits(values), self.rng, self.spawn)
        guest = GuestCluster(self.local.cluster, term, self._guest_limits(values), self.host.cancel)
        self.home, self.guest, self.term = home, guest, term

    def _overflow_limits(self, values: dict[str, float]) -> OverflowLimits:
        return OverflowLimits(
            overflow_after_s=self.overflow_after_s,
            max_offers_in_flight=int(values["offers_in_flight"]),
            offers_per_s=values["offers_per_s"],
            max_clusters_at_once=int(values["ask_at_once"]),
            max_offers_per_gang=int(values["offers_per_gang"]),
            retry_share=values["retry_share"],
            bytes_per_s=BYTES_PER_KILOBYTE * values["kilobytes_per_s"],
            probe_interval_s=values["look_s"],
            prefer=self.prefer,
        )

    def _guest_limits(self, values: dict[str, float]) -> GuestLimits:
        homes = [other.name for other in self.local.others] if self.local.guests_team else []
        return GuestLimits(
            homes=frozenset(homes),
            team=self.local.guests_team,
            priority=PRIORITIES[int(values["guest_rank"])],
            reserve_s=values["reserve_s"],
            return_after_s=values["give_back_s"],
            max_reservations=int(values["most_reserved"]),
            max_guests=int(values["most_guests"]),
        )

    def _spawn_in_pool(self, work: Callable[[], None]) -> None:
        if self.pool.full():
            # every greenlet waits for another cluster: give them time, so that the leader's loop does not spin
            gevent.sleep(POOL_FULL_PAUSE_S)
        self.pool.spawn(work)

    def _leads(self) -> bool:
        return self.host is not None and self.term is not None and self.host.present() is self.term

    def step(self) -> None:
        """Advance both sides, while this controller leads."""
        if self._leads() and self.home is not None and self.guest is not None:
            self.guest.step()
            self.home.step()

    def message_handler(self) -> Any:
        """Return what replies to messages in the present term, or None if this controller does not lead."""
        return self.guest.handle_message if self._leads() and self.guest is not None else None

    def recall(self, ref: str) -> None:
        """Recall a cancelled gang from another cluster, here or through the leader."""
        if self._leads() and self.home is not None:
            self.home.recall(ref)
        elif self.host is not None:
            self.host.ask_leader(RECALL_PATH, ref.encode())

    def handle_recall(self, body: bytes) -> bytes:
        """Recall a gang whose cancellation another controller of this cluster was asked for."""
        if self._leads() and self.home is not None:
            self.home.recall(body[:MAX_RECALL_BYTES].decode("ascii", "replace"))
        return b""

    def leader(self) -> str | None:
        """Return the name of the controller that leads this cluster, if it is known."""
        return self.host.leader() if self.host is not None else None

    # expressions ------------------------------------------------------------------------------------------

    def _names(self, job: Job, **more: float) -> dict[str, float]:
        """Return the values of all names that an expression about a gang may use."""
        gang = {"gang_size": float(job.spec.tasks), "gang_cpus": job.spec.cpus * job.spec.tasks}
        return {**self.fixed_names, **gang, **more}

    def overflow_after_s(self, job: Job, now: float) -> float:
        """Return for how many seconds a gang waits before it is offered, by the operators' expression."""
        names = self._names(job, waited_s=now - job.accepted_at, zone_load=self._zone_load(job))
        return self.values.value("overflow_after_s", names)

    def _zone_load(self, job: Job) -> float:
        """Return the share of CPUs in use in the gang's zone, or in the least loaded one if it may run in any."""
        now = self.clock()
        if now - self._zone_loads_at >= LOADS_VALID_S:
            self._zone_loads_at = now
            self._zone_loads = self._measure_zone_loads()
        if job.zone_index >= 0:
            return self._zone_loads.get(job.zone_index, 1.0)
        return min(self._zone_loads.values(), default=1.0)

    def _measure_zone_loads(self) -> dict[int, float]:
        assert self.term is not None
        used: dict[int, int] = {}
        capacity: dict[int, int] = {}
        for machine in self.term.inventory.machines:
            used[machine.zone_index] = used.get(machine.zone_index, 0) + machine.used[0]
            capacity[machine.zone_index] = capacity.get(machine.zone_index, 0) + machine.capacity[0]
        return {zone: used[zone] / cpus for zone, cpus in capacity.items() if cpus}

    def prefer(self, job: Job, capacity: FreeCapacity, age_s: float) -> float:
        """Return how much a cluster is preferred for a gang, by the operators' expression."""
        names = self._names(
            job,
            free_machines=float(capacity.free_machines),
            told_age_s=age_s,
            has_image=float(job.spec.image in capacity.images),
            image_gb=job.spec.image_gb,
            price=capacity.price_per_cpu_hour,
        )
        return self.values.value("prefer", names)


def make(values: Expressions, settings: Settings, plain: PlainValues) -> Features:
    """Make the feature. Without other clusters nothing is served, and no library of the link is imported.

    Raises:
        ExpressionError: a plain setting is wrong, or the keys cannot be used.
    """
    local = read_plain_settings(plain, settings)
    federation = Federation(values, settings, local)
    listeners = [_make_link(federation, local, settings, plain)] if local.others else []
    return Features(
        ["federation"],
        messages={RECALL_PATH: federation.handle_recall},
        listeners=listeners,
        steps=[(federation.step, STEP_PAUSE_S)],
        hosts=[federation.attach_host],
        terms=[federation.begin_term],
        recalls=[federation.recall],
    )


def _make_link(federation: Federation, local: LocalSettings, settings: Settings, plain: PlainValues) -> Listener:
    """Make the links to all other clusters, and return the listener for their messages."""
    # imported here, as a controller without other clusters needs neither netaddr nor the link's server
    from .allowed_networks import AllowedNetworks, NetworkListError
    from .keyring import Keyring, KeyringError
    from .link_server import LinkAdmission, LinkServer

    try:
        networks = AllowedNetworks(local.networks)
    except NetworkListError as error:
        raise plain.fault("networks", str(error)) from error
    try:
        ring = Keyring(Path(plain.file).parent / local.keys, local.cluster, federation.clock)
    except KeyringError as error:
        raise plain.fault("keys", str(error)) from error
    for other in local.others:
        federation.links[other.name] = TlsLink(
            controllers={name: parse_address(address, "others") for name, address in other.controllers.items()},
            connect=tls_connector(other.name, ring),
            edition=lambda: ring.edition,
            clock=federation.clock,
            rng=federation.rng,
        )
    server = LinkServer(ring, federation.message_handler, federation.leader, federation.clock)
    gate = LinkAdmission(networks, ring, federation.clock)
    return Listener(local.listen[settings.name], "listen", server.app, MAX_LINK_CONNECTIONS, gate)


FEATURE = Feature(Vocabulary(KEYS, NAMES), DEFAULTS, make, PLAIN)
