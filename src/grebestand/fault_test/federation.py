"""`grebestand rehearse federation`: real controllers of some clusters on loopback, one of them crowded, under faults.

What is started, hurt and asked is drawn from the seed; when exactly things happen is up to real processes, so two
runs differ in their rows. The verdict must not.
"""

from __future__ import annotations

import datetime as dt
import random
import re
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import msgspec

from ..clients.http import HttpTransport, UnreachableError
from ..emulators.controller_processes import Controllers, free_port
from ..emulators.site import HOST, EmulatedSite
from ..emulators.task_execution import TaskEvent
from ..emulators.tcp_relay import RelayMode, TcpRelay
from ..federation import keys
from ..federation.keyring import Keyring
from ..federation.messages import Probe
from ..federation.tls_link import PATH
from ..metrics.duration_sketches import DurationSketches
from ..wire.cloud import MachineType
from ..wire.jobs import JobStatusResponse
from .history import History
from .history_checker import HistoryVerdict, check

#: of the clusters, the crowded one first
NAMES = ("north", "south", "east", "west")
WORKERS = {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 15.0, "gang_peer_s": 2.0, "cancel_s": 20.0}
PARAMS = (
    'zones = ["a"]\n'
    '[[params.teams]]\nname = "crew"\ncpus = 64.0\ncpus_max = 1000.0\n'
    '[[params.teams]]\nname = "guests"\ncpus = 0.0\ncpus_max = 1000.0\n'
    "[params.workers]\n" + "".join(f"{k} = {v}\n" for k, v in WORKERS.items()) +
    "[params.state]\nrps = 2000.0\nwrite_rps = 500.0\nvalue_kb = 4.0\ntxn_ops = 12\n"
    "[params.cloud]\nrps = 100.0\nlist_lag_s = 2.0\n"
)  # fmt: skip
POLICY = "rent = false\nidle_return_s = 100000\nhold_s = 3\ndead_after_s = 10000\n"
TYPES = [MachineType("m16", 16.0, 0.0, 64.0, ["a"], 100.0, 2.0, 1.0, 0.4, 2.0)]


@dataclass
class FaultTestPlan:
    """What is rehearsed."""

    seed: int = 7
    clusters: int = 2
    controllers: int = 2
    machines: int = 7
    gangs: int = 30
    #: gangs arrive over so many seconds, and faults are over some time before the end
    arrive_s: float = 35.0
    most_s: float = 105.0
    run_s: tuple[float, float] = (2.0, 5.0)
    #: done within its run time and so much more, a gang is on time
    spare_s: float = 15.0
    faults: bool = True
    federation: bool = True


@dataclass
class Gang:
    """A gang that a user submits, and what that user was told."""

    ref: str
    klass: str
    home: str
    tasks: int
    at: float
    run_s: float
    abort: bool = False
    abort_at: float | None = None
    accepted_at: float | None = None
    final: str = ""
    final_at: float = 0.0


@dataclass
class FaultTestResult:
    """The verdict of a run, its history and its figures."""

    verdict: HistoryVerdict
    history: History
    gangs: list[Gang]
    #: lines that say who was where: home, offers, where it ran, attempts
    rows: list[str]
    sketches: DurationSketches
    counts: dict[str, float] = field(default_factory=dict)


class FederationFaultTest:
    """One run: clusters on loopback, users, faults drawn from the seed, and the history of it all."""

    def __init__(self, plan: FaultTestPlan, root: Path, say: Callable[[str], None]) -> None:
        self.plan = plan
        self.root = root
        self.say = say
        self.rng = random.Random(plan.seed)
        self.history = History(WORKERS["cancel_s"], about={"seed": plan.seed, "clusters": plan.clusters})
        self.names = NAMES[: plan.clusters]
        self.sites = {n: EmulatedSite(n, TYPES, WORKERS, self.history.tell, plan.seed) for n in self.names}
        self.controllers = {
            n: Controllers(self.sites[n], plan.controllers, root / n, PARAMS, POLICY) for n in self.names
        }
        self.clock = self.sites[self.names[0]].clock
        #: between a cluster and one controller of another
        self.relays: dict[tuple[str, str], TcpRelay] = {}
        if plan.federation:
            self._federate()
        self.gangs = self._draw()
        self.ended = False

    def _federate(self) -> None:
        """Keys for each cluster, handed to all others, and a file that switches it on for each controller."""
        now = dt.datetime.now(dt.UTC)
        certificates = {n: keys.create(self.root / n / "keys", n, 2.0, now) for n in self.names}
        own = {c: f"{HOST}:{free_port()}" for n in self.names for c in self.controllers[n].names}
        for n in self.names:
            lines = [
                'feature = "federation"', f'cluster = "{n}"', 'keys = "keys"', 'guests_team = "guests"',
                f'networks = ["{HOST}/32"]', "overflow_after_s = 2", "look_s = 1", "reserve_s = 6", "give_back_s = 15",
                "offers_per_gang = 40", "offers_in_flight = 8", "offers_per_s = 8", "most_reserved = 6",
            ]  # fmt: skip
            lines += ["[listen]", *[f'{c} = "{own[c]}"' for c in self.controllers[n].names]]
            for other in self.names:
                if other != n:
                    keys.trust(self.root / n / "keys", certificates[other])
                    lines += ["[[others]]", f'name = "{other}"', "[others.controllers]"]
                    for c in self.controllers[other].names:
                        relay = self.relays[n, c] = TcpRelay(own[c], self.rng)
                        lines.append(f'{c} = "{relay.address}"')
            file = self.root / n / "federation.toml"
            file.write_text("\n".join(lines) + "\n")
            self.controllers[n].features = [file]

    def _draw(self) -> list[Gang]:
        """Most gangs are born in the first cluster, which has room for few of them at a time."""
        found = []
        for i in range(self.plan.gangs):
            home = self.names[0] if self.rng.random() < 0.75 else self.rng.choice(self.names)
            at = self.plan.arrive_s * (i + self.rng.random()) / self.plan.gangs
            run = self.rng.uniform(*self.plan.run_s)
            abort = self.plan.faults and self.rng.random() < 0.1
            # references of different clusters may be equal, and some are
            number = i // 2 + 1 if home != self.names[0] else i + 1
            found.append(Gang(f"j-{number:06d}", f"gang-{i:04d}", home, 3, at, run, abort))
        taken: set[tuple[str, str]] = set()
        for g in found:
            while (g.home, g.ref) in taken:
                g.ref = f"j-{int(g.ref[2:]) + 5000:06d}"
            taken.add((g.home, g.ref))
        return found

    # users ------------------------------------------------------------------------------------------------

    def _call(self, home: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """One request to any controller of a cluster; 0 if nobody answers."""
        host, _, port = self.rng.choice(list(self.controllers[home].addresses.values())).rpartition(":")
        wire = HttpTransport(host, int(port), 1)
        try:
            return wire.request(method, path, body, 4.0)
        except UnreachableError:
            return 0, b""
        finally:
            wire.close()

    def _told(self, g: Gang, what: str) -> None:
        self.history.tell(TaskEvent(self.clock(), g.home, what, g.klass, g.ref, tasks=g.tasks))

    def _user(self, g: Gang, begin: float) -> None:
        gevent.sleep(max(0.0, begin + g.at - self.clock()))
        spec = {
            "ref": g.ref, "lane": g.klass, "crew": "crew", "shape": "ensemble", "rank": "standard", "shards": g.tasks,
            "cpus": 15.0, "cards": 0.0, "ramGb": 8.0, "cargo": f"img-{int(g.klass[5:]) % 5}", "pullGb": 1.0,
            "samePlace": False, "scatter": False, "driftwood": True, "reckonS": g.run_s, "markS": 0.0, "stowS": 0.0,
        }  # fmt: skip
        body = msgspec.json.encode(spec)
        self._told(g, "asked")
        asked = self.clock()
        while not self.ended and g.accepted_at is None:
            status, _ = self._call(g.home, "POST", "/v2/runs", body)
            if status in (200, 201):
                g.accepted_at = asked
                self._told(g, "accepted")
            else:
                gevent.sleep(1.0)
        if g.abort and g.abort_at is None:
            g.abort_at = self.clock() + self.rng.uniform(1.0, 12.0)
        while not self.ended and not g.final:
            gevent.sleep(0.5)
            if g.abort_at is not None and self.clock() >= g.abort_at:
                status, answer = self._call(g.home, "POST", f"/v2/runs/{g.ref}/abort")
                wait = 1.0
            else:
                status, answer = self._call(g.home, "GET", f"/v2/runs/{g.ref}")
                wait = 0.3
            if status == 200:
                state = msgspec.json.decode(answer, type=JobStatusResponse).state.value
                if state in ("done", "cancelled"):
                    g.final, g.final_at = state, self.clock()
                    self._told(g, state)
            gevent.sleep(wait)

    # faults -----------------------------------------------------------------------------------------------

    def _hurt(self, begin: float) -> None:
        """One trouble after the other, drawn from the seed, until some time before the end."""
        kinds = [
            self._hold_link, self._break_link, self._slow_link, self._kill_leader, self._kill_both_leaders,
            self._silence, self._kill_all, self._lose_machine, self._freeze_leader, self._hold_and_kill,
            self._abort_in_a_cut, self._rotate, self._intrude,
        ]  # fmt: skip
        self.rng.shuffle(kinds)
        at = 0
        while self.clock() - begin < self.plan.arrive_s + 10 and not self.ended:
            gevent.sleep(self.rng.uniform(1.0, 3.0))
            kinds[at % len(kinds)]()
            at += 1
        for relay in self.relays.values():
            relay.set(RelayMode.OPEN)
            relay.late_s = 0.0

    def _lines(self, line: RelayMode, seconds: float) -> None:
        for relay in self.relays.values():
            relay.set(line)
        gevent.sleep(seconds)
        for relay in self.relays.values():
            relay.set(RelayMode.OPEN)

    def _hold_link(self) -> None:
        self.say("all links are held for 7 s; what was sent arrives afterwards")
        self._lines(RelayMode.HELD, 7.0)

    def _abort_in_a_cut(self) -> None:
        """Users of gangs that may be abroad want them cancelled while nobody there can be told."""
        open_ones = [g for g in self.gangs if g.accepted_at is not None and not g.final and g.abort_at is None]
        for g in self.rng.sample(open_ones, min(2, len(open_ones))):
            self.say(f"{g.klass} is to be cancelled while all links are held for 6 s")
            g.abort_at = self.clock()
        self._lines(RelayMode.HELD, 6.0)

    def _rotate(self) -> None:
        """A cluster's next key is made, handed over, used, and the old one revoked, with no restart."""
        if not self.relays:
            return
        name = self.rng.choice(self.names)
        now = dt.datetime.now(dt.UTC)
        old = next(s for s in keys.show(self.root / name / "keys", now) if s.state == "active")
        made = keys.rotate(self.root / name / "keys", 2.0, now)
        others = [n for n in self.names if n != name]
        for other in others:
            keys.trust(self.root / other / "keys", made)
        gevent.sleep(2.5)
        keys.activate(self.root / name / "keys")
        gevent.sleep(2.5)
        for other in others:
            keys.revoke(self.root / other / "keys", old.fingerprint)
        self.say(f"{name} has a new key, and its old one is revoked")

    def _intrude(self) -> None:
        """Somebody with a certificate that nobody believes, and a believed peer that talks nonsense."""
        if not self.relays:
            return
        stranger = self.root / "stranger"
        if not stranger.exists():
            keys.create(stranger, "stranger", 2.0, dt.datetime.now(dt.UTC))
            for name in self.names:
                keys.trust(stranger, sorted((self.root / name / "keys" / "own").glob("*.pem"))[-1])
        refused = 0
        for (near, _), relay in self.relays.items():
            for root, owner in ((stranger, "stranger"), (self.root / near / "keys", near)):
                far = next(n for n in self.names if n != near)
                context = Keyring(root, owner, self.clock).client(far)
                if context is None:
                    continue
                wire = HttpTransport(HOST, int(relay.address.rpartition(":")[2]), 1, tls=context)
                for body in (b"\xc1 nonsense", bytes(100_000), msgspec.msgpack.encode(Probe("somebody", 1))):
                    try:
                        refused += wire.request("POST", PATH, body, 2.0)[0] != 200
                    except UnreachableError:
                        refused += 1
                wire.close()
        self.say(f"a stranger and a broken peer sent messages, {refused} of which were refused")

    def _break_link(self) -> None:
        self.say("all links are reset and refuse for 3 s")
        self._lines(RelayMode.BROKEN, 3.0)

    def _slow_link(self) -> None:
        self.say("links are up to 1 s late from now on for 5 s")
        for relay in self.relays.values():
            relay.late_s = 1.0
        gevent.sleep(5.0)
        for relay in self.relays.values():
            relay.late_s = 0.0

    def _kill(self, site: str, pause: float) -> None:
        leader = self.controllers[site].leader()
        if leader is not None:
            self.say(f"{leader}, which leads, is killed for {pause:.0f} s")
            self.controllers[site].kill(leader)
            gevent.spawn_later(pause, self._restart, site, leader)

    def _restart(self, site: str, name: str) -> None:
        if not self.ended:
            self.controllers[site].start(name)

    def _kill_leader(self) -> None:
        self._kill(self.rng.choice(self.names), 4.0)

    def _kill_both_leaders(self) -> None:
        for name in self.names:
            self._kill(name, 1.0)

    def _hold_and_kill(self) -> None:
        for relay in self.relays.values():
            relay.set(RelayMode.HELD)
        for name in self.names:
            self._kill(name, 2.0)
        self._lines(RelayMode.HELD, 5.0)

    def _kill_all(self) -> None:
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
            self.controllers[site].freeze(leader, 5.0)

    def _silence(self) -> None:
        site = self.rng.choice(self.names)
        self.say(f"the state service of {site} is silent for 5 s")
        self.sites[site].store.silent = True
        gevent.sleep(5.0)
        self.sites[site].store.speak()

    def _lose_machine(self) -> None:
        site = self.sites[self.names[-1]]
        busy = [p.name for p in site.yard.players.values() if p.held]
        if busy and len(site.yard.players) > 4:
            name = self.rng.choice(sorted(busy))
            self.say(f"machine {name} of {site.name} dies, and another comes up")
            site.lose(name)
            site.machine("m16", "a")

    # the run ----------------------------------------------------------------------------------------------

    def run(self) -> FaultTestResult:
        """Play the whole run and judge it; raise `RuntimeError` if a cluster does not come up."""
        plan = self.plan
        try:
            for name in self.names:
                for _ in range(plan.machines):
                    self.sites[name].machine("m16", "a")
                self.controllers[name].start_all()
            for name in self.names:
                if not self.controllers[name].ready(25.0):
                    raise RuntimeError(f"no controller of {name} came to lead: {self.controllers[name].last_words()}")
            begin = self.clock()
            users = [gevent.spawn(self._user, g, begin) for g in self.gangs]
            if plan.faults:
                gevent.spawn(self._hurt, begin)
            while self.clock() - begin < plan.most_s and not all(g.final for g in self.gangs):
                gevent.sleep(0.2)
            gevent.sleep(1.0)
            self.ended = True
            gevent.joinall(users, timeout=6.0)
            return self._outcome(begin)
        finally:
            self.ended = True
            for controllers in self.controllers.values():
                controllers.stop()

    def _outcome(self, begin: float) -> FaultTestResult:
        sketches = DurationSketches()
        offers = self._offers(sketches)
        ran: dict[str, list[tuple[str, int]]] = {}
        for r in self.history.rows:
            if r.what == "on" and (r.cluster, r.attempt) not in ran.setdefault(r.klass, []):
                ran[r.klass].append((r.cluster, r.attempt))
        rows = []
        on_time, plan = 0, self.plan
        for g in self.gangs:
            where = ran.get(g.klass, [])
            text = " ".join(dict.fromkeys(c for c, _ in where)) or "-"
            rows.append(
                f"{g.klass}  home {g.home:6} offers {offers.get((g.home, g.ref), 0):2}  ran {text:12} "
                f"attempts {len(where)}  {g.final or 'not over'}"
            )
            if g.final == "done" and g.accepted_at is not None:
                took = g.final_at - g.accepted_at
                sketches.add("until done", took)
                on_time += took <= g.run_s + plan.spare_s
        counts = {
            "messages": float(sum(r.connections for r in self.relays.values())),
            "bytes": float(sum(r.bytes for r in self.relays.values())),
            "writes": float(sum(s.store.writes for s in self.sites.values())),
            "abroad": float(sum(1 for g in self.gangs if any(c != g.home for c, _ in ran.get(g.klass, [])))),
            "offers": float(sum(offers.values())),
            "on_time": float(on_time),
            "seconds": self.clock() - begin,
        }
        return FaultTestResult(check(self.history), self.history, self.gangs, rows, sketches, counts)

    def _offers(self, sketches: DurationSketches) -> dict[tuple[str, str], int]:
        """How many for each gang, and how long decided ones took, by the controllers' logs: display."""
        found: dict[tuple[str, str], int] = {}
        for name in self.names:
            for log in sorted((self.root / name).glob("*.log")):
                text = log.read_text("utf-8")
                for m in re.finditer(r"decided for \S+ (\d+) ms after it was offered", text):
                    sketches.add("offer decided", int(m[1]) / 1e3)
                for m in re.finditer(r"gang (j-\d+): WAITING -> OFFERED: offered to (.*)", text):
                    key = (name, m[1])
                    found[key] = found.get(key, 0) + len(m[2].split(", "))
        return found


def rehearse(plan: FaultTestPlan, say: Callable[[str], None], keep: Path | None = None) -> FaultTestResult:
    """Runs it in a directory that is removed afterwards, or in one that is kept."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return FederationFaultTest(plan, keep, say).run()
    with tempfile.TemporaryDirectory(prefix="grebestand-") as directory:
        return FederationFaultTest(plan, Path(directory), say).run()
