"""The faults of a federation fault test, drawn from its seed: links, controllers, machines, stores and keys."""

from __future__ import annotations

import datetime as dt
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import gevent
import msgspec

from ..clients.http import HttpTransport, UnreachableError
from ..emulators.controller_processes import SiteControllers
from ..emulators.site import HOST, EmulatedSite
from ..emulators.tcp_relay import RelayMode, TcpRelay
from ..federation import keys
from ..federation.keyring import Keyring
from ..federation.messages import Probe
from ..federation.tls_link import LINK_PATH
from .federation_plan import MACHINE_TYPE, ZONE, FaultTestPlan, Gang

#: faults go on for this long after the last gang was submitted, in seconds
FAULTS_AFTER_ARRIVALS_S = 10
#: between two faults, in seconds
PAUSE_S = (1.0, 3.0)
#: controllers have read changed key files within this, in seconds
KEY_RELOAD_S = 2.5
#: how long the keys of the test are valid
KEY_DAYS = 2.0
#: a message larger than any cluster accepts
OVERSIZED_BYTES = 100_000
MESSAGE_TIMEOUT_S = 2.0
#: no machine is lost while a cluster has no more than these
LEAST_MACHINES = 4


@dataclass(frozen=True)
class FaultTargets:
    """What faults are injected into.

    Attributes:
        root: the directory of the clusters' keys.
        names: the names of the clusters.
        sites: what surrounds the controllers of each cluster.
        controllers: the controllers of each cluster.
        relays: the links between a cluster and one controller of another.
        gangs: the gangs, some of which are cancelled as part of a fault.
    """

    root: Path
    names: tuple[str, ...]
    sites: dict[str, EmulatedSite]
    controllers: dict[str, SiteControllers]
    relays: dict[tuple[str, str], TcpRelay]
    gangs: list[Gang]


class FaultInjector:
    """Injects one fault after the other."""

    def __init__(
        self,
        plan: FaultTestPlan,
        targets: FaultTargets,
        clock: Callable[[], float],
        rng: random.Random,
        say: Callable[[str], None],
    ) -> None:
        """Prepare faults.

        Args:
            plan: what is played.
            targets: what faults are injected into.
            clock: the run's clock, in seconds.
            rng: what faults are drawn from.
            say: prints a line of progress.
        """
        self.plan = plan
        self.root = targets.root
        self.names = targets.names
        self.sites = targets.sites
        self.controllers = targets.controllers
        self.relays = targets.relays
        self.gangs = targets.gangs
        self.clock = clock
        self.rng = rng
        self.say = say
        self.ended = False

    def run(self, begin: float) -> None:
        """Inject one fault after the other, in an order drawn from the seed, until some time before the end."""
        faults = [
            self._hold_links, self._break_links, self._delay_links, self._kill_leader, self._kill_all_leaders,
            self._silence_store, self._kill_cluster, self._lose_machine, self._freeze_leader, self._hold_links_and_kill,
            self._cancel_while_held, self._rotate_key, self._send_nonsense,
        ]  # fmt: skip
        self.rng.shuffle(faults)
        index = 0
        while self.clock() - begin < self.plan.arrive_s + FAULTS_AFTER_ARRIVALS_S and not self.ended:
            gevent.sleep(self.rng.uniform(*PAUSE_S))
            faults[index % len(faults)]()
            index += 1
        for relay in self.relays.values():
            relay.set_mode(RelayMode.OPEN)
            relay.max_delay_s = 0.0

    def _switch_links(self, mode: RelayMode, seconds: float) -> None:
        """Switch all links to a mode for a while."""
        for relay in self.relays.values():
            relay.set_mode(mode)
        gevent.sleep(seconds)
        for relay in self.relays.values():
            relay.set_mode(RelayMode.OPEN)

    def _hold_links(self) -> None:
        self.say("all links are held for 7 s; what was sent arrives afterwards")
        self._switch_links(RelayMode.HELD, 7.0)

    def _cancel_while_held(self) -> None:
        """Have gangs that may run in other clusters cancelled while no message gets there."""
        unfinished = [
            gang for gang in self.gangs if gang.accepted_at is not None and not gang.final and gang.abort_at is None
        ]
        for gang in self.rng.sample(unfinished, min(2, len(unfinished))):
            self.say(f"{gang.klass} is to be cancelled while all links are held for 6 s")
            gang.abort_at = self.clock()
        self._switch_links(RelayMode.HELD, 6.0)

    def _rotate_key(self) -> None:
        """Replace the key of a cluster without a restart: make, trust and activate the next one, revoke the old one."""
        if not self.relays:
            return
        name = self.rng.choice(self.names)
        now = dt.datetime.now(dt.UTC)
        old = next(key for key in keys.list_certificates(self.root / name / "keys", now) if key.state == "active")
        certificate = keys.rotate(self.root / name / "keys", KEY_DAYS, now)
        others = [other for other in self.names if other != name]
        for other in others:
            keys.trust(self.root / other / "keys", certificate)
        gevent.sleep(KEY_RELOAD_S)
        keys.activate(self.root / name / "keys")
        gevent.sleep(KEY_RELOAD_S)
        for other in others:
            keys.revoke(self.root / other / "keys", old.fingerprint)
        self.say(f"{name} has a new key, and its old one is revoked")

    def _send_nonsense(self) -> None:
        """Send messages with a certificate that nobody trusts, and malformed ones with a trusted certificate."""
        if not self.relays:
            return
        stranger = self._stranger_keys()
        refused = 0
        for (near, _), relay in self.relays.items():
            for root, owner in ((stranger, "stranger"), (self.root / near / "keys", near)):
                refused += self._send_malformed(root, owner, near, relay)
        self.say(f"a stranger and a broken peer sent messages, {refused} of which were refused")

    def _stranger_keys(self) -> Path:
        """Return the keys of a stranger that trusts all clusters and is trusted by none."""
        root = self.root / "stranger"
        if not root.exists():
            keys.create(root, "stranger", KEY_DAYS, dt.datetime.now(dt.UTC))
            for name in self.names:
                keys.trust(root, sorted((self.root / name / "keys" / "own").glob("*.pem"))[-1])
        return root

    def _send_malformed(self, root: Path, owner: str, near: str, relay: TcpRelay) -> int:
        """Send messages that no cluster may accept over a link, and return how many were refused."""
        far = next(name for name in self.names if name != near)
        context = Keyring(root, owner, self.clock).client_context(far)
        if context is None:
            return 0
        refused = 0
        transport = HttpTransport(HOST, int(relay.address.rpartition(":")[2]), 1, tls=context)
        for body in (b"\xc1 nonsense", bytes(OVERSIZED_BYTES), msgspec.msgpack.encode(Probe("somebody", 1))):
            try:
                refused += transport.request("POST", LINK_PATH, body, MESSAGE_TIMEOUT_S)[0] != 200
            except UnreachableError:
                refused += 1
        transport.close()
        return refused

    def _break_links(self) -> None:
        self.say("all links are reset and refuse for 3 s")
        self._switch_links(RelayMode.BROKEN, 3.0)

    def _delay_links(self) -> None:
        self.say("links are up to 1 s late from now on for 5 s")
        for relay in self.relays.values():
            relay.max_delay_s = 1.0
        gevent.sleep(5.0)
        for relay in self.relays.values():
            relay.max_delay_s = 0.0

    def _kill(self, site: str, pause_s: float) -> None:
        """Kill the leader of a cluster, and start it again after a pause."""
        leader = self.controllers[site].leader()
        if leader is not None:
            self.say(f"{leader}, which leads, is killed for {pause_s:.0f} s")
            self.controllers[site].kill(leader)
            gevent.spawn_later(pause_s, self._restart, site, leader)

    def _restart(self, site: str, name: str) -> None:
        if not self.ended:
            self.controllers[site].start(name)

    def _kill_leader(self) -> None:
        self._kill(self.rng.choice(self.names), 4.0)

    def _kill_all_leaders(self) -> None:
        for name in self.names:
            self._kill(name, 1.0)

    def _hold_links_and_kill(self) -> None:
        for relay in self.relays.values():
            relay.set_mode(RelayMode.HELD)
        for name in self.names:
            self._kill(name, 2.0)
        self._switch_links(RelayMode.HELD, 5.0)

    def _kill_cluster(self) -> None:
        site = self.names[-1]
        self.say(f"all controllers of {site} are killed for 3 s")
        for name in self.controllers[site].names:
            self.controllers[site].kill(name)
            gevent.spawn_later(3.0, self._restart, site, name)

    def _freeze_leader(self) -> None:
        site = self.rng.choice(self.names)
        leader = self.controllers[site].leader()
        if leader is not None:
            self.say(f"{leader}, which leads, is stopped for 5 s, longer than its hold")
            self.controllers[site].pause(leader, 5.0)

    def _silence_store(self) -> None:
        site = self.rng.choice(self.names)
        self.say(f"the state service of {site} is silent for 5 s")
        self.sites[site].store.unresponsive = True
        gevent.sleep(5.0)
        self.sites[site].store.resume_responses()

    def _lose_machine(self) -> None:
        site = self.sites[self.names[-1]]
        busy = [player.name for player in site.task_execution.workers.values() if player.local_tasks]
        if busy and len(site.task_execution.workers) > LEAST_MACHINES:
            name = self.rng.choice(sorted(busy))
            self.say(f"machine {name} of {site.name} dies, and another comes up")
            site.fail_machine(name)
            site.add_machine(MACHINE_TYPE, ZONE)
