"""The federation feature of a controller: connects its settings, link, home and guest to the controller's hooks."""

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

#: Path of the request by which a follower notifies the leader of its cluster that a user cancels a remote gang.
RECALL_PATH = "/federation/recall"
#: At most this many greenlets wait for replies of other clusters at a time.
MAX_LINK_GREENLETS = 32
#: Pause before a greenlet is started while the pool is full, in seconds.
POOL_FULL_PAUSE_S = 0.05
#: How long computed loads of zones are used, in seconds. Computing them visits all machines.
LOADS_VALID_S = 1.0
#: Pause between two steps of the leader, in seconds.
STEP_PAUSE_S = 0.2
#: At most this many connections from other clusters are open at a time.
MAX_LINK_CONNECTIONS = 40
#: At most this many bytes of a recall request are read as a job id.
MAX_RECALL_BYTES = 64
BYTES_PER_KILOBYTE = 1024


class Federation:
    """Federation in one controller: always serves the link, and runs home and guest cluster while it leads."""

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
            values: Federation settings that are expressions.
            settings: The platform's settings.
            local: Federation settings that are not expressions.
            clock: Monotonic clock, in seconds.
            rng: Source of random pauses and orders; by default one with a random seed.
            spawn: Runs a function that waits for a reply of another cluster; by default in a pool of greenlets.
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
        #: The share of CPUs in use by zone index, and the time when these shares were computed.
        self._zone_loads: dict[int, float] = {}
        self._zone_loads_at = -math.inf
        self.links: dict[str, Link] = {}
        self.breakers = {other.name: CircuitBreaker(other.name, self.clock, self.rng) for other in local.others}
        guarantees_s = [
            objective.within_s
            for objective in settings.params.objectives
            if objective.kind == "guarantee" and objective.within_s is not None
        ]
        #: Values of expression names that do not depend on the gang; names without a meaning have their lowest value.
        self.fixed_names = {
            **NAMES_WITHOUT_MEANING,
            "clusters": float(max(1, len(local.others))),
            "report_s": settings.params.workers.report_s,
            "guarantee_s": min(guarantees_s, default=0.0),
        }

    # hooks ------------------------------------------------------------------------------------------------

    def attach_host(self, host: Host) -> None:
        """Set the controller that this feature is part of."""
        self.host = host

    def begin_term(self, term: Any) -> None:
        """Begin a term of this controller as leader: restore remote gangs and guest gangs from the stored records.

        Args:
            term: The `Term` that begins.

        Raises:
            StoreError: The store could not be reached.
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
            # Yield while all greenlets wait for replies, so that the leader's loop does not spin.
            gevent.sleep(POOL_FULL_PAUSE_S)
        self.pool.spawn(work)

    def _is_leader(self) -> bool:
        return self.host is not None and self.term is not None and self.host.leading_term() is self.term

    def step(self) -> None:
        """Run the due steps of the guest and the home cluster if this controller leads."""
        if self._is_leader() and self.home is not None and self.guest is not None:
            self.guest.step()
            self.home.step()

    def message_handler(self) -> Any:
        """Return the function that replies to messages in this term, or None if this controller does not lead."""
        return self.guest.handle_message if self._is_leader() and self.guest is not None else None

    def recall(self, job_id: str) -> None:
        """Recall a cancelled gang from another cluster: directly if this controller leads, otherwise by its leader.

        Args:
            job_id: The gang's job id.
        """
        if self._is_leader() and self.home is not None:
            self.home.recall(job_id)
        elif self.host is not None:
            self.host.ask_leader(RECALL_PATH, job_id.encode())

    def handle_recall(self, body: bytes) -> bytes:
        """Process a recall request from another controller of this cluster, which received the user's cancellation.

        Args:
            body: The gang's job id.

        Returns:
            The empty body of the response.
        """
        if self._is_leader() and self.home is not None:
            self.home.recall(body[:MAX_RECALL_BYTES].decode("ascii", "replace"))
        return b""

    def leader(self) -> str | None:
        """Return the name of the controller that leads this cluster, or None if unknown."""
        return self.host.leader() if self.host is not None else None

    # expressions ------------------------------------------------------------------------------------------

    def _names(self, job: Job, **further_names: float) -> dict[str, float]:
        """Return the values of all names that an expression about a gang can use."""
        gang = {"gang_size": float(job.spec.tasks), "gang_cpus": job.spec.cpus * job.spec.tasks}
        return {**self.fixed_names, **gang, **further_names}

    def overflow_after_s(self, job: Job, now: float) -> float:
        """Evaluate the setting `overflow_after_s` for a gang.

        Args:
            job: The gang.
            now: Time of the monotonic clock, in seconds.

        Returns:
            How long the gang has to wait at home before it is offered to other clusters, in seconds.
        """
        names = self._names(job, waited_s=now - job.accepted_at, zone_load=self._zone_load(job))
        return self.values.value("overflow_after_s", names)

    def _zone_load(self, job: Job) -> float:
        """Return the share of CPUs in use in the gang's zone, or in the least loaded zone if the gang names none."""
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
        """Evaluate the setting `prefer` for a gang and a cluster.

        Args:
            job: The gang.
            capacity: The cluster's last reply to a probe.
            age_s: Age of that reply, in seconds.

        Returns:
            The preference; the gang is offered first to the cluster with the highest value.
        """
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
    """Make the feature. Without other clusters in the settings, no link is served nor its libraries imported.

    Args:
        values: Federation settings that are expressions.
        settings: The platform's settings.
        plain: Federation settings that are not expressions.

    Returns:
        The hooks of the feature.

    Raises:
        ExpressionError: A setting that is not an expression is invalid, or the keys cannot be used.
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
    """Make the links to all other clusters, and return the listener for messages from other clusters."""
    # Imported here, because a controller without other clusters needs neither netaddr nor the link's server.
    from .allowed_networks import AllowedNetworks, NetworkListError
    from .keyring import Keyring, KeyringError
    from .link_server import LinkAdmission, LinkServer

    try:
        networks = AllowedNetworks(local.networks)
    except NetworkListError as error:
        raise plain.fault("networks", str(error)) from error
    try:
        keyring = Keyring(Path(plain.file).parent / local.keys, local.cluster, federation.clock)
    except KeyringError as error:
        raise plain.fault("keys", str(error)) from error
    for other in local.others:
        federation.links[other.name] = TlsLink(
            controllers={name: parse_address(address, "others") for name, address in other.controllers.items()},
            connect=tls_connector(other.name, keyring),
            edition=lambda: keyring.edition,
            clock=federation.clock,
            rng=federation.rng,
        )
    server = LinkServer(keyring, federation.message_handler, federation.leader, federation.clock)
    gate = LinkAdmission(networks, keyring, federation.clock)
    return Listener(local.listen[settings.name], "listen", server.app, MAX_LINK_CONNECTIONS, gate)


FEATURE = Feature(Vocabulary(KEYS, NAMES), DEFAULTS, make, PLAIN)
