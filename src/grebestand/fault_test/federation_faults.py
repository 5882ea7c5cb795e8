"""Injects faults into the links, controllers, machines, state services and keys of a federation fault test."""

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

#: Time for which faults are still injected after the last gang was submitted, in seconds.
FAULTS_AFTER_ARRIVALS_S = 10
#: Shortest and longest pause before a fault, in seconds.
FAULT_PAUSE_S = (1.0, 3.0)
#: Time within which controllers have read changed key files, in seconds.
KEY_RELOAD_S = 2.5
#: Validity of the keys of the test, in days.
KEY_DAYS = 2.0
#: Size of a message that is larger than any cluster accepts, in bytes.
OVERSIZED_BYTES = 100_000
MESSAGE_TIMEOUT_S = 2.0
#: Owner of the keys that no cluster trusts, and name of their directory.
UNTRUSTED_NAME = "stranger"
#: A cluster with at most this number of machines loses none.
MIN_MACHINES = 4


@dataclass(frozen=True)
class FaultTargets:
    """The parts of a run into which faults are injected.

    Attributes:
        root: Directory with one subdirectory of keys for each cluster.
        cluster_names: Names of the clusters.
        sites: Emulated state service and machines of each cluster, by the cluster's name.
        controllers: Controllers of each cluster, by the cluster's name.
        relays: TCP relays in front of each link, by the name of the connecting cluster and of the remote controller.
        gangs: Gangs of the run; a fault may set the time at which a gang's user cancels the gang.
    """

    root: Path
    cluster_names: tuple[str, ...]
    sites: dict[str, EmulatedSite]
    controllers: dict[str, SiteControllers]
    relays: dict[tuple[str, str], TcpRelay]
    gangs: list[Gang]


class FaultInjector:
    """Injects faults one at a time."""

    def __init__(
        self,
        plan: FaultTestPlan,
        targets: FaultTargets,
        clock: Callable[[], float],
        rng: random.Random,
        print_progress: Callable[[str], None],
    ) -> None:
        """Create the injector without injecting a fault.

        Args:
            plan: Parameters of the run.
            targets: Parts of the run into which faults are injected.
            clock: Clock of the run, in seconds.
            rng: Source of the random order, pauses and targets of faults.
            print_progress: Prints one line of progress.
        """
        self.plan = plan
        self.root = targets.root
        self.cluster_names = targets.cluster_names
        self.sites = targets.sites
        self.controllers = targets.controllers
        self.relays = targets.relays
        self.gangs = targets.gangs
        self.clock = clock
        self.rng = rng
        self.print_progress = print_progress
        self.stopped = False

    def run(self, begin: float) -> None:
        """Inject faults in a random order until `FAULTS_AFTER_ARRIVALS_S` after the last submission or until stopped.

        Each kind of fault is injected once before any is repeated.

        Args:
            begin: Beginning of the run on the clock, in seconds.
        """
        faults = [
            self._hold_links, self._break_links, self._delay_links, self._kill_leader, self._kill_all_leaders,
            self._silence_state_service, self._kill_cluster, self._lose_machine, self._freeze_leader,
            self._hold_links_and_kill, self._cancel_while_held, self._rotate_key, self._send_invalid_messages,
        ]  # fmt: skip
        self.rng.shuffle(faults)
        index = 0
        while self.clock() - begin < self.plan.arrival_s + FAULTS_AFTER_ARRIVALS_S and not self.stopped:
            gevent.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            faults[index % len(faults)]()
            index += 1
        for relay in self.relays.values():
            relay.set_mode(RelayMode.OPEN)
            relay.max_delay_s = 0.0

    def _switch_links(self, mode: RelayMode, seconds: float) -> None:
        """Switch all links to a mode, and open them again after some seconds."""
        for relay in self.relays.values():
            relay.set_mode(mode)
        gevent.sleep(seconds)
        for relay in self.relays.values():
            relay.set_mode(RelayMode.OPEN)

    def _hold_links(self) -> None:
        self.print_progress("all links hold their data for 7 s and deliver the data afterwards")
        self._switch_links(RelayMode.HELD, 7.0)

    def _cancel_while_held(self) -> None:
        """Have up to two gangs cancelled while no message reaches other clusters, in which these gangs may run."""
        unfinished = [
            gang
            for gang in self.gangs
            if gang.first_request_at is not None and not gang.final_state and gang.cancel_at is None
        ]
        for gang in self.rng.sample(unfinished, min(2, len(unfinished))):
            self.print_progress(f"{gang.job_class} is cancelled by its user while all links hold their data for 6 s")
            gang.cancel_at = self.clock()
        self._switch_links(RelayMode.HELD, 6.0)

    def _rotate_key(self) -> None:
        """Replace the key of a random cluster without a restart.

        A new key is created and trusted by the other clusters before the new key is activated, and the old key is
        revoked last, so that at each time the cluster connects with a key that the others trust.
        """
        if not self.relays:
            return
        name = self.rng.choice(self.cluster_names)
        now = dt.datetime.now(dt.UTC)
        old = next(key for key in keys.list_certificates(self.root / name / "keys", now) if key.state == "active")
        certificate = keys.rotate(self.root / name / "keys", KEY_DAYS, now)
        others = [other for other in self.cluster_names if other != name]
        for other in others:
            keys.trust(self.root / other / "keys", certificate)
        gevent.sleep(KEY_RELOAD_S)
        keys.activate(self.root / name / "keys")
        gevent.sleep(KEY_RELOAD_S)
        for other in others:
            keys.revoke(self.root / other / "keys", old.fingerprint)
        self.print_progress(f"cluster {name} uses a new key, and its old key is revoked")

    def _send_invalid_messages(self) -> None:
        """Send invalid messages over each link, with a certificate that no cluster trusts and with a trusted one."""
        if not self.relays:
            return
        untrusted_keys = self._untrusted_keys()
        refused = 0
        for (sender, _), relay in self.relays.items():
            for keys_directory, owner in ((untrusted_keys, UNTRUSTED_NAME), (self.root / sender / "keys", sender)):
                refused += self._send_malformed(keys_directory, owner, sender, relay)
        self.print_progress(f"invalid messages were sent with untrusted and trusted keys, {refused} were refused")

    def _untrusted_keys(self) -> Path:
        """Return a directory of keys whose owner trusts all clusters and is trusted by no cluster."""
        root = self.root / UNTRUSTED_NAME
        if not root.exists():
            keys.create(root, UNTRUSTED_NAME, KEY_DAYS, dt.datetime.now(dt.UTC))
            for name in self.cluster_names:
                keys.trust(root, sorted((self.root / name / "keys" / "own").glob("*.pem"))[-1])
        return root

    def _send_malformed(self, keys_directory: Path, owner: str, sender: str, relay: TcpRelay) -> int:
        """Send messages that no cluster may accept over one link.

        Args:
            keys_directory: Directory of the keys with which to connect.
            owner: Owner of these keys.
            sender: Name of the cluster at whose end of the link the messages are sent.
            relay: Relay in front of the link.

        Returns:
            Number of messages that were refused or not answered; 0 if the keys allow no connection.
        """
        receiver = next(name for name in self.cluster_names if name != sender)
        context = Keyring(keys_directory, owner, self.clock).client_context(receiver)
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
        self.print_progress("all links reset their connections and refuse new ones for 3 s")
        self._switch_links(RelayMode.BROKEN, 3.0)

    def _delay_links(self) -> None:
        self.print_progress("all links delay data by up to 1 s, for 5 s")
        for relay in self.relays.values():
            relay.max_delay_s = 1.0
        gevent.sleep(5.0)
        for relay in self.relays.values():
            relay.max_delay_s = 0.0

    def _kill_leader_of(self, cluster: str, pause_s: float) -> None:
        """Kill the leading controller of a cluster, and restart that controller after a pause in seconds."""
        leader = self.controllers[cluster].leader()
        if leader is not None:
            self.print_progress(f"leader {leader} is killed and restarts after {pause_s:.0f} s")
            self.controllers[cluster].kill(leader)
            gevent.spawn_later(pause_s, self._restart, cluster, leader)

    def _restart(self, cluster: str, controller: str) -> None:
        if not self.stopped:
            self.controllers[cluster].start(controller)

    def _kill_leader(self) -> None:
        self._kill_leader_of(self.rng.choice(self.cluster_names), 4.0)

    def _kill_all_leaders(self) -> None:
        for name in self.cluster_names:
            self._kill_leader_of(name, 1.0)

    def _hold_links_and_kill(self) -> None:
        for relay in self.relays.values():
            relay.set_mode(RelayMode.HELD)
        for name in self.cluster_names:
            self._kill_leader_of(name, 2.0)
        self._switch_links(RelayMode.HELD, 5.0)

    def _kill_cluster(self) -> None:
        cluster = self.cluster_names[-1]
        self.print_progress(f"all controllers of cluster {cluster} are killed and restart after 3 s")
        for controller in self.controllers[cluster].names:
            self.controllers[cluster].kill(controller)
            gevent.spawn_later(3.0, self._restart, cluster, controller)

    def _freeze_leader(self) -> None:
        cluster = self.rng.choice(self.cluster_names)
        leader = self.controllers[cluster].leader()
        if leader is not None:
            self.print_progress(f"leader {leader} is paused for 5 s, longer than its leader lease")
            self.controllers[cluster].pause(leader, 5.0)

    def _silence_state_service(self) -> None:
        cluster = self.rng.choice(self.cluster_names)
        self.print_progress(f"the state service of cluster {cluster} does not respond for 5 s")
        self.sites[cluster].store.unresponsive = True
        gevent.sleep(5.0)
        self.sites[cluster].store.resume_responses()

    def _lose_machine(self) -> None:
        site = self.sites[self.cluster_names[-1]]
        busy = [player.name for player in site.task_execution.workers.values() if player.local_tasks]
        if busy and len(site.task_execution.workers) > MIN_MACHINES:
            name = self.rng.choice(sorted(busy))
            self.print_progress(f"machine {name} of cluster {site.name} fails, and a new machine starts")
            site.fail_machine(name)
            site.add_machine(MACHINE_TYPE, ZONE)
