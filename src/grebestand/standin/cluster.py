"""Several real controllers, their workers, users, cloud and state service on simulated time, over a matrix of links.

Every link has two ends and a way: open, refused, held, one direction lost, or slow. Controllers run their own loops and
doors unchanged (`process.controller`); state service, cloud and workers are the models beside this file. What workers
and users saw is kept, so that rules are checked from their side. Seeded, and the same in every run.
"""

from __future__ import annotations

import itertools
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

import gevent
import msgspec

from ..outside.http import Transport, Unreachable
from ..process.controller import Controller
from ..settings import policy
from ..settings.platform import Settings, parse
from ..states import LeaderState
from ..wire.cloud import MachineType
from ..wire.workers import DirectOrders, Elsewhere, Orders, Why
from .asked import Asked
from .cloud import CloudModel
from .memory import SETTINGS
from .store import StoreModel
from .virtual import VirtualLoop, own
from .worker import WorkerModel

STATE, CLOUD = "state", "cloud"
#: a message takes so long, in seconds, at the least and at the most
DELAY_S = (0.001, 0.006)
#: what a slow link adds to each message, at most
SLOW_S = 0.8
#: what is carried out late, comes so long after it was sent, in seconds
LATE_S = (2.0, 12.0)
#: a job about which no question is answered for so long, in seconds, counts as forgotten; one that waits for so long,
#: troubles over, while it could begin, counts as left waiting
FORGOTTEN_S, WAITED_S = 75.0, 90.0
#: close looks come within so long of what they look at, in seconds, and so many at each controller
LOOK_S, LOOKS = 0.03, 2
#: kept copies of reports come within so long of a new key, in seconds, and so many at the most
KEPT_S, MOST_KEPT = 0.25, 60
#: what a machine has
ROOM = 16.0
#: users wait for so long for an answer to a poll, and to anything else
POLL_S, PATIENCE_S = 2.0, 5.0
#: the machines stay as they are: none is rented, and none returned for being idle
RULES = "rent = false\nidle_return_s = 1e6\n"


def later(seconds: float, call: Callable[..., object], *args: object) -> None:
    """What a controller has set off goes on though it stands still: it is on its way, or a machine's own."""

    def go() -> None:
        own(None)
        gevent.sleep(seconds)
        call(*args)

    gevent.spawn(go)


class Way(Enum):
    """What becomes of messages between two hosts."""

    OPEN = auto()
    #: connections are refused; a state service answers 503
    REFUSED = auto()
    #: nothing comes through; what was sent is delivered once the link is open again, though its sender has given up
    HELD = auto()
    #: what is sent is lost, or what is answered
    ASKS_LOST = auto()
    ANSWERS_LOST = auto()
    SLOW = auto()


class Links:
    """The matrix. A pair that is not in it is open."""

    def __init__(self) -> None:
        self.ways: dict[tuple[str, str], Way] = {}
        #: deliveries of what was held, by pair
        self.held: dict[tuple[str, str], list[Callable[[], object]]] = {}

    def set(self, a: str, b: str, way: Way) -> None:
        """Both directions between two hosts."""
        for pair in ((a, b), (b, a)):
            self.ways[pair] = way
            if way is not Way.HELD:
                for deliver in self.held.pop(pair, ()):
                    gevent.spawn(deliver)

    def heal(self) -> None:
        for a, b in list(self.ways):
            self.set(a, b, Way.OPEN)

    def way(self, a: str, b: str) -> Way:
        return self.ways.get((a, b), Way.OPEN)


Handler = Callable[[str, str, bytes], tuple[int, bytes]]


@dataclass
class Wire:
    """A way from one host to another: what a client knows as its transport."""

    links: Links
    rng: random.Random
    near: str
    far: str
    #: finds who answers there now; None: the process is gone
    handler: Callable[[], Handler | None]

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        with gevent.Timeout(timeout, False):
            return self._request(method, path, body)
        raise Unreachable("timeout")

    def _request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        self._travel()
        way, handler = self.links.way(self.near, self.far), self.handler()
        if way is Way.REFUSED and self.far == STATE:
            return 503, b"{}"
        if way is Way.REFUSED or handler is None:
            raise Unreachable("refused")
        if way is Way.HELD:
            deliver = handler
            self.links.held.setdefault((self.near, self.far), []).append(lambda: deliver(method, path, body))
        if way in (Way.HELD, Way.ASKS_LOST):
            gevent.sleep(1e6)
        status, answer = handler(method, path, body)
        if self.links.way(self.far, self.near) in (Way.HELD, Way.ANSWERS_LOST):
            gevent.sleep(1e6)
        self._travel()
        return status, answer

    def _travel(self) -> None:
        late = SLOW_S * self.rng.random() if self.links.way(self.near, self.far) is Way.SLOW else 0.0
        gevent.sleep(self.rng.uniform(*DELAY_S) + late)


class Host:
    """The surroundings of one controller: a `Network` on simulated time."""

    def __init__(self, world: SimulatedCluster, name: str, drift: float) -> None:
        self.world = world
        self.name = name
        self.drift = drift
        self.rng = random.Random(f"{world.seed} {name} {world.born}")
        #: its process has ended
        self.gone = False

    def clock(self) -> float:
        return 1000.0 + self.world.loop.time * (1 + self.drift)

    def wall(self) -> float:
        return 1.7e9 + self.world.loop.time

    def awake(self) -> None:
        """Comes back once this controller does not stand still."""
        while (left := self.world.loop.frozen.get(self, 0.0) - self.world.loop.time) > 0:
            gevent.sleep(left)

    def connect(self, address: str, field: str, connections: int, connect_s: float = 1.5) -> Transport:
        far = self.world.names[address]
        return Wire(
            self.world.links, self.rng, self.name, far, lambda: None if self.gone else self.world.server(self.name, far)
        )

    def once(self, method: str, address: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        machine = address.rpartition(":")[0]
        if machine not in self.world.machines:
            raise Unreachable("no such machine")
        seat = self.world.machines[machine]
        if self.name in seat.deaf_to:
            gevent.sleep(timeout)
            raise Unreachable("timeout")
        if self.world.luck.random() < self.world.late_orders:
            # it is held up, and carried out if it is still valid then; or its answer is
            late = self.world.luck.uniform(*LATE_S)
            if self.world.luck.random() < 0.5:
                later(late, seat.answer, method, path, body)
                gevent.sleep(timeout)
                raise Unreachable("timeout")
            status, answer = seat.answer(method, path, body)
            gevent.sleep(min(late, timeout))
            if late < timeout:
                return status, answer
            raise Unreachable("timeout")
        wire = Wire(self.world.links, self.rng, self.name, seat.zone, lambda: None if self.gone else seat.answer)
        return wire.request(method, path, body, timeout)


@dataclass
class Seat(WorkerModel):
    """A machine: its worker, and tasks that take a while."""

    world: SimulatedCluster | None = None
    node: int = 0
    answered_at: float = 0.0
    ends: dict[str, float] = field(default_factory=dict)
    hung: bool = False
    dead: bool = False
    #: controllers whose answers and commands do not come through, while its reports arrive there
    deaf_to: frozenset[str] = frozenset()
    #: it can open no connection to any controller, while direct commands reach it
    mute: bool = False
    #: how often it has begun anew
    begun: int = 0

    def answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        assert self.world is not None
        if self.hung or self.dead:
            gevent.sleep(1e6)
        if path == "/show":
            return 200, msgspec.json.encode(self.report())
        status, report = self.direct(msgspec.json.decode(body, type=DirectOrders))
        self.world.saw(self)
        return status, msgspec.json.encode(report)

    def begin(self, task: str, attempt: int) -> None:
        super().begin(task, attempt)
        assert self.world is not None
        self.world.starts.append(self.world.loop.time)
        job = self.world.jobs[task.rpartition("/")[0]]
        job.begun_at = min(job.begun_at, self.world.loop.time)
        if job.cancelled_at is not None:
            self.world.after_cancel.append((self.world.loop.time - job.cancelled_at, task))
        self.ends[task] = self.world.loop.time + self.world.rng.uniform(*self.world.task_s)
        if job.broken:
            self.ends[task] = self.world.loop.time + 1.0

    def play(self) -> None:
        """One look at the lease, and at the tasks; of a machine that hangs, only the lease goes on."""
        assert self.world is not None
        now = self.world.loop.time
        if now - self.answered_at > self.world.lease_s:
            self.world.killed += len(self.running())
            self.lapse()
            self.answered_at = now
        for task in self.running():
            if now >= self.ends.get(task, now) and not self.hung:
                broken = self.world.jobs[task.rpartition("/")[0]].broken
                self.finish(task, Why.ERROR if broken else Why.DONE)
                if not broken:
                    self.world.finished.add(task)
                    self.world.task_ended(task)
        self.world.saw(self)

    def restart(self, anew: bool) -> None:
        """It is back at once with nothing on it; its session and its count go on, or begin anew with no token."""
        assert self.world is not None
        self.begun += 1
        if anew:
            self.session, self.seq, self.token = 0, 0, 0
        self.lapse()
        self.answered_at = self.world.loop.time
        self.world.saw(self)

    def gone(self) -> None:
        """The cloud has taken it away, with all that is on it."""
        assert self.world is not None
        self.dead = True
        self.lapse()
        self.world.saw(self)

    def report_to(self, name: str) -> tuple[int, bytes]:
        assert self.world is not None
        world = self.world
        if self.mute:
            gevent.sleep(1.0)
            raise Unreachable("no connection")
        wire = Wire(world.links, world.rng, self.zone, name, lambda: world.door(name))
        sent = world.loop.time
        session, begun = self.session, self.begun
        body = msgspec.json.encode(self.report())
        if world.rng.random() < world.copies:
            # to whoever is there then, long after its worker has gone on, or is gone
            late, at = world.rng.uniform(1.0, 3.0 * world.lease_s), world.rng.choice(world.controllers)
            gevent.spawn_later(late, world.deliver, at, body)
        if world.kept and len(world.kept_reports) < MOST_KEPT and world.luck.random() < world.kept:
            world.kept_reports.append(body)
        status, answer = wire.request("POST", "/checkin", body, 4.0)
        if name in self.deaf_to:
            gevent.sleep(4.0)
            raise Unreachable("timeout")
        same = session == self.session and begun == self.begun
        if status == 200 and same and not self.hung and not self.dead:
            orders = msgspec.json.decode(answer, type=Orders)
            if orders.token >= self.token:
                self.answered_at = sent
                world.served_at[self.zone] = world.loop.time
            self.obey(orders)
            world.saw(self)
        return status, answer

    def keep(self) -> None:
        """Leases end on time, also while a report is under way."""
        while not self.dead:
            self.play()
            gevent.sleep(0.25)

    def run(self) -> None:
        assert self.world is not None
        world = self.world
        gevent.spawn(self.keep)
        while not self.dead:
            if self.hung:
                gevent.sleep(0.5)
                continue
            try:
                status, answer = self.report_to(world.controllers[self.node])
            except Unreachable:
                status, answer = 0, b""
            others = [n for i, n in enumerate(world.controllers) if i != self.node]
            if status == 421 and (to := msgspec.json.decode(answer, type=Elsewhere).report_to) and to in others:
                self.node = world.controllers.index(to)
                gevent.sleep(0.5 * world.rng.random())
                continue
            if status != 200:
                self.node = (self.node + 1) % len(world.controllers)
                gevent.sleep(1.0)
                continue
            gevent.sleep(world.report_s * world.rng.uniform(0.75, 1.25))


class SimulatedCluster:
    """A cluster. Use it inside `simulated()`; `gevent.sleep` lets it run."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int = 1,
        controllers: int = 3,
        machines: int = 24,
        rules: str = RULES,
        rps: float = 10_000.0,
        write_rps: float = 10_000.0,
    ) -> None:
        self.loop = loop
        self.seed = seed
        self.rng = random.Random(f"world {seed}")
        #: draws troubles, so that a world without any plays as it would without them
        self.luck = random.Random(f"luck {seed}")
        self.links = Links()
        self.controllers = [f"node-{i}" for i in range(controllers)]
        self.task_s = (3.0, 12.0)
        self.state = StoreModel(lambda: loop.time)
        self.cloud = CloudModel()
        self.cloud.types = [MachineType("m4", ROOM, 4.0, 64.0, ["a", "b"], 50.0, 1.0, 1.0, 0.4, 30.0)]
        self.cloud.removed, self.cloud.rented = self._removed, self._rented
        #: how long machines take until they are up, and until they are listed, in seconds
        self.boot_s, self.listed_after_s = (0.2, 2.0), 8.0
        #: which part of them never comes up
        self.never_up = 0.0
        self._deleted: set[str] = set()
        self.policy = policy.parse(rules, "cluster.toml", policy.default())
        self.born = 0
        self.names = {"127.0.0.1:3": CLOUD, "127.0.0.1:4": STATE}
        self.names |= {f"127.0.1.{i}:2": name for i, name in enumerate(self.controllers)}
        self.rates = rps, write_rps
        self.state.rps, self.state.write_rps = rps, write_rps
        self.settings = {name: self._settings(i) for i, name in enumerate(self.controllers)}
        w = self.settings["node-0"].params.workers
        self.lease_s, self.report_s, self.cancel_s = w.lease_s, w.report_s, w.cancel_s
        self.nodes: dict[str, Controller | None] = dict.fromkeys(self.controllers)
        self.hosts: dict[str, Host] = {}
        self.machines: dict[str, Seat] = {}
        self.jobs: dict[str, Asked] = {}
        #: what workers and users saw
        self.killed = 0
        self.twice: list[str] = []
        self.over: list[str] = []
        self.wrong: list[str] = []
        self.leaders: list[tuple[float, str, int]] = []
        self.both: list[float] = []
        #: by zone, when a worker there was last answered
        self.served_at: dict[str, float] = {}
        #: when tasks began on machines
        self.starts: list[float] = []
        #: which part of all reports is copied, to arrive late
        self.copies = 0.0
        #: since when all troubles are over
        self.calm_at = math.inf
        #: users ask so many times as often
        self.eager = 1.0
        #: which part of the writes to the state service is carried out late and not answered; how late its other
        #: answers are at most, in seconds; which part of the direct commands, or of their answers, is held up
        self.late_writes = self.slow_s = self.late_orders = 0.0
        #: which part of the writes is carried out at once, with nobody answered; which part of the reports is kept, to
        #: come to all controllers just as the next leader begins
        self.lost_answers = self.kept = 0.0
        self.kept_reports: list[bytes] = []
        #: users ask at all controllers within milliseconds of every acceptance, cancellation and end
        self.close_looks = False
        #: which part of the jobs is cancelled at the moment of its end
        self.at_end = 0.0
        #: how long after their users were told of a cancellation tasks of it were started, and which
        self.after_cancel: list[tuple[float, str]] = []
        #: when the last task of a job ended, and how long after that its user heard of it
        self.ended_at: dict[str, float] = {}
        self.told_late: dict[str, float] = {}
        #: answers that came after a newer one, while both questions were under way
        self.overlaps: list[str] = []
        #: since when, troubles over, a job has waited though it could begin
        self._waits: dict[str, float] = {}
        self.left_waiting: list[str] = []
        #: the most that each team has used since the last look at who waits
        self._peak: dict[str, tuple[float, float]] = {}
        #: which part of a crowd's jobs is cancelled by its users
        self.cancelling = 0.0
        #: tasks that were completed somewhere
        self.finished: set[str] = set()
        #: tasks on machines, or started, too long after their users were told that they are cancelled
        self.late: list[str] = []
        self._tasks: dict[str, str] = {}
        self._on: dict[str, set[str]] = {}
        self._late: set[str] = set()
        for name in self.controllers:
            self.start(name)
        for i in range(machines):
            name = f"n-{i:06d}"
            seat = Seat(name, zone="ab"[i % 2], world=self, node=i % controllers, addr=f"{name}:1")
            self.machines[name] = seat
            self.cloud.listed.append(
                {"ref": name, "addr": seat.addr, "hull": "m4", "quay": seat.zone, "driftwood": False, "tide": "running",
                 "heldS": 1.0}
            )  # fmt: skip
            gevent.spawn_later(self.rng.random() * 2, seat.run)
        gevent.spawn(self._watch)

    def _settings(self, index: int) -> Settings:
        text = SETTINGS.replace('host_name = "node-0"', f'host_name = "node-{index}"')
        text = text.replace("cpus_max = 16.0", "cpus_max = 16.0\ngpus = 2.0\ngpus_max = 4.0")
        for key, rate in zip(("rps", "write_rps"), self.rates, strict=True):
            text = text.replace(f"\n{key} = 10000.0", f"\n{key} = {rate}")
        text = text.replace("127.0.0.1:2", f"127.0.1.{index}:2").replace(
            "count = 1", f"count = {len(self.controllers)}"
        )
        known = "".join(
            f'[[known]]\nhost_name = "{n}"\narea = "a"\naddress = "127.0.1.{i}:2"\n'
            for i, n in enumerate(self.controllers)
            if i != index
        )
        return parse(text.replace("[outside]", known + "[outside]"))

    def _rented(self, names: list[str], want: dict[str, Any]) -> None:
        for name in names:
            if self.luck.random() >= self.never_up:
                later(self.luck.uniform(*self.boot_s), self._boot, name, str(want["quay"]))
            later(self.listed_after_s, self._list, name, str(want["quay"]), self.loop.time)

    def _boot(self, name: str, zone: str) -> None:
        if name not in self._deleted:
            at = self.luck.randrange(len(self.controllers))
            seat = self.machines[name] = Seat(name, zone=zone, world=self, node=at, addr=f"{name}:1")
            seat.answered_at = self.loop.time
            gevent.spawn(seat.run)

    def _list(self, name: str, zone: str, since: float) -> None:
        if name not in self._deleted:
            entry = {"ref": name, "addr": f"{name}:1", "hull": "m4", "quay": zone, "driftwood": False}
            # as of now; what is up later is listed as it was
            tide = "running" if name in self.machines else "starting"
            self.cloud.listed.append({**entry, "tide": tide, "heldS": self.loop.time - since})

    def _removed(self, names: list[str]) -> None:
        self._deleted.update(names)
        self.cloud.listed = [m for m in self.cloud.listed if m["ref"] not in names]
        for name in names:
            if name in self.machines:
                self.machines[name].gone()

    # controllers ------------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """A new process under this name."""
        self.born += 1
        host = self.hosts[name] = Host(self, name, self.rng.uniform(-0.0005, 0.0005))
        # all that it spawns is its own, and stands still with it
        gevent.spawn(self._begin, name, host).join()

    def _begin(self, name: str, host: Host) -> None:
        own(host)
        node = Controller(self.settings[name], self.policy, network=host)
        self.nodes[name] = node
        node.begin()

    def freeze(self, name: str, seconds: float) -> None:
        """It stands still while its clocks run on; what is sent to it waits."""
        self.loop.frozen[self.hosts[name]] = self.loop.time + seconds

    def crash(self, name: str) -> None:
        """Its loops end at their next step: nothing that it sends from now on arrives, and nothing reaches it."""
        node, self.nodes[name] = self.nodes[name], None
        if node is not None:
            self.hosts[name].gone = True

    def server(self, near: str, far: str) -> Handler | None:
        if far == STATE:
            return lambda m, p, b: self._store(near, m, p, b)
        if far == CLOUD:
            return lambda m, p, b: self.cloud.request(m, p, b, 1.0)
        node, host = self.nodes[far], self.hosts[far]
        return None if node is None else lambda m, p, b: self._peer(node, host, p, b)

    @staticmethod
    def _peer(node: Controller, host: Host, path: str, body: bytes) -> tuple[int, bytes]:
        host.awake()
        answer = node.peers.answer(path, body)
        return (404, b"") if answer is None else (200, answer)

    def _store(self, near: str, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        if method != "GET" and self.luck.random() < self.late_writes:
            # nobody is answered, and it is carried out after what the same controller sends next
            later(self.luck.uniform(*LATE_S), self.state.request, method, path, body, 1.0)
            gevent.sleep(1e6)
        status, answer = self.state.request(method, path, body, 1.0)
        if self.kept_reports and status == 200 and path == "/commit" and b'"set":"leader"' in body:
            self._deliver_kept()
        if self.lost_answers and method != "GET" and self.luck.random() < self.lost_answers:
            gevent.sleep(1e6)
        if path.startswith("/changes") and status == 200:
            answer = self._follow(near, path, answer)
        elif self.slow_s:
            gevent.sleep(self.luck.uniform(0.0, self.slow_s))
        return status, answer

    def _follow(self, near: str, path: str, answer: bytes) -> bytes:
        """An open watch. In an outage, and while its controller alone is refused, it waits and says nothing."""
        end = self.loop.time + float(path.partition("&waitMs=")[2] or 0) / 1000
        while self.loop.time < end and not json.loads(answer)["events"]:
            gevent.sleep(0.1)
            if self.links.way(near, STATE) is Way.REFUSED:
                continue
            status, news = self.state.request("GET", path, b"", 1.0)
            if status == 200:
                answer = news
        return answer

    def door(self, name: str) -> Handler | None:
        node, host = self.nodes[name], self.hosts[name]

        def checkin(method: str, path: str, body: bytes) -> tuple[int, bytes]:
            assert node is not None
            host.awake()
            answer = node.checkin(body)
            host.awake()
            return answer.status, answer.body

        return checkin if node is not None else None

    def deliver(self, name: str, body: bytes) -> None:
        """A copy of a report comes late; nobody waits for its answer."""
        door = self.door(name)
        if door is not None:
            door("POST", "/checkin", body)

    def _deliver_kept(self) -> None:
        """A new leader has the key: what was kept for it comes to all, before, while and after it reads the records."""
        kept, self.kept_reports = self.kept_reports, []
        for body in kept:
            for name in self.controllers:
                later(self.luck.uniform(0.0, KEPT_S), self.deliver, name, body)

    def leading(self) -> list[str]:
        """Controllers that would give orders now, by their own clocks."""
        return [
            n
            for n, c in self.nodes.items()
            if self.loop.frozen.get(self.hosts[n], 0.0) <= self.loop.time
            and c is not None
            and c.leadership.state is LeaderState.LEADING
            and c.leadership.entitled()
        ]

    def _watch(self) -> None:
        """Who leads, ten times a second."""
        last = 0
        while True:
            now = self.leading()
            if len(now) > 1:
                self.both.append(self.loop.time)
            for name in now:
                node = self.nodes[name]
                if node is not None and node.leadership.token > last:
                    last = node.leadership.token
                    self.leaders.append((self.loop.time, name, last))
            gevent.sleep(0.1)

    # what workers saw -------------------------------------------------------------------------------------

    def saw(self, seat: Seat) -> None:
        """After every change on a machine: no task is on two of them, and no team above its limit."""
        now = set(seat.running())
        before = self._on.get(seat.name, set())
        self._on[seat.name] = now
        for task in before - now:
            if self._tasks.get(task) == seat.name:
                del self._tasks[task]
        for task in now - before:
            if self._tasks.get(task, seat.name) != seat.name:
                self.twice.append(f"{self.loop.time:.2f} {task} on {self._tasks[task]} and {seat.name}")
            self._tasks[task] = seat.name
        for task in now:
            told = self.jobs[task.rpartition("/")[0]].cancelled_at
            if told is not None and self.loop.time - told > self.cancel_s and task not in self._late:
                self._late.add(task)
                self.late.append(f"{self.loop.time:.2f} {task} on {seat.name}, cancelled at {told:.2f}")
        for task in now - before:
            self._placed(task, seat)
        if now - before:
            use, limits = self._use_of_teams(), self._limits()
            for team, (cpus, cards) in use.items():
                most = self._peak.get(team, (0.0, 0.0))
                self._peak[team] = max(cpus, most[0]), max(cards, most[1])
            self.over += [
                f"{self.loop.time:.2f} {t} uses {u}"
                for t, u in use.items()
                if any(a > b + 1e-6 for a, b in zip(u, limits[t], strict=True))
            ]

    def _limits(self) -> dict[str, tuple[float, float]]:
        return {t.name: (t.cpus_max, t.gpus_max) for t in self.settings["node-0"].params.teams}

    def _use_of_teams(self) -> dict[str, tuple[float, float]]:
        use: dict[str, tuple[float, float]] = {}
        for task in self._tasks:
            job = self.jobs[task.rpartition("/")[0]]
            cpus, cards = use.get(job.team, (0.0, 0.0))
            use[job.team] = cpus + job.cpus, cards + job.cards
        return use

    def _placed(self, task: str, seat: Seat) -> None:
        """A task has begun: whether its zone is right, given the others of its job at that moment."""
        ref = task.rpartition("/")[0]
        job = self.jobs[ref]
        if job.zone and seat.zone != job.zone:
            self.wrong.append(f"{self.loop.time:.2f} {task} in zone {seat.zone}, its job is bound to {job.zone}")
        if not (job.same_place or job.scatter):
            return
        zones = [self.machines[m].zone for t, m in self._tasks.items() if t != task and t.rpartition("/")[0] == ref]
        if job.same_place and any(z != seat.zone for z in zones):
            self.wrong.append(f"{self.loop.time:.2f} {task} in zone {seat.zone}, others of its job are not")
        if job.scatter and zones.count(seat.zone) + 1 > -(-job.tasks // 2):
            self.wrong.append(f"{self.loop.time:.2f} {task} is one too many in zone {seat.zone}")

    # users ------------------------------------------------------------------------------------------------

    def submit(
        self, team: str = "blue", tasks: int = 4, cpus: float = 1.0, name: str | None = None, **more: object
    ) -> str:
        """A user who submits a job, and asks about it for ever; `broken` has a mistake in it."""
        ref = f"j-{len(self.jobs) + 1:06d}"
        broken = bool(more.pop("broken", False))
        spec = {
            "ref": ref, "lane": "work", "crew": team, "shape": "array", "rank": "standard", "shards": tasks,
            "cpus": cpus, "cards": 0.0, "ramGb": 1.0, "cargo": "img", "pullGb": 0.1, "hulls": None, "quay": None,
            "samePlace": False, "scatter": False, "driftwood": True, "reckonS": 8.0, "markS": 0.0, "stowS": 0.0,
            "dueS": None,
        }  # fmt: skip
        spec |= more
        self.jobs[ref] = Asked(ref, spec, self.loop.time, broken=broken)
        gevent.spawn(self._use, ref, name)
        return ref

    def _use(self, ref: str, name: str | None) -> None:
        job = self.jobs[ref]
        while True:
            at = name or self.rng.choice(self.controllers)
            if not self._serves(at):
                gevent.sleep(1.0)
                continue
            again = self.luck.random() < 0.1
            if job.accepted_at is None or (again and not job.over):
                self._ask("submit", ref, at)
                gevent.sleep(1.0)
            elif self.loop.time >= job.cancel_at and not job.over:
                self._ask("cancel", ref, at)
                gevent.sleep(1.0)
            else:
                self._ask("poll", ref, at)
                gevent.sleep((2.0 if not job.over else 6.0) / self.eager)

    def _serves(self, name: str) -> bool:
        """Whether users are sent to this controller."""
        return self.nodes[name] is not None and self.loop.frozen.get(self.hosts[name], 0.0) <= self.loop.time

    def _ask(self, what: str, ref: str, at: str) -> None:
        """One question of a user, and its answer, if that comes in time from a process that is still there."""
        job, node, asked = self.jobs[ref], self.nodes[at], self.loop.time
        if node is None:
            return
        door = node.users
        answer = door.submit(job.body) if what == "submit" else (door.cancel if what == "cancel" else door.poll)(ref)
        patience = POLL_S if what == "poll" else PATIENCE_S
        if self.nodes[at] is not node or self.loop.time - asked >= patience:
            return
        done_before = [f"{ref}/{i}" for i in range(job.tasks) if f"{ref}/{i}" not in self.finished]
        news = job.told(answer.status, answer.body, asked, self.loop.time, self.calm_at, done_before)
        self.wrong += [f"{self.loop.time:.2f} {ref} {text} (by {at})" for text in news.wrong]
        self.overlaps += [f"{self.loop.time:.2f} {ref} {text} (by {at})" for text in news.overlaps]
        if news.newer:
            if job.done_at is not None:
                self.told_late[ref] = self.loop.time - self.ended_at.get(ref, self.loop.time)
            self.look_closely(ref)

    def task_ended(self, task: str) -> None:
        """If it was the last one of its job, some are called off at that moment, and users look."""
        ref = task.rpartition("/")[0]
        job = self.jobs[ref]
        if any(f"{ref}/{i}" not in self.finished for i in range(job.tasks)) or job.over:
            return
        if self.at_end and self.luck.random() < self.at_end:
            job.cancel_at = min(job.cancel_at, self.loop.time)
        self.ended_at[ref] = self.loop.time
        self.look_closely(ref)

    def look_closely(self, ref: str) -> None:
        """Questions at all controllers within milliseconds, while there are close looks."""
        if not self.close_looks:
            return
        for name in self.controllers * LOOKS:
            gevent.spawn_later(self.luck.uniform(0.0, LOOK_S), self._glance, ref, name)

    def _glance(self, ref: str, name: str) -> None:
        if not self._serves(name):
            return
        kinds = ["poll", "poll", "submit"] + ["cancel"] * (self.loop.time >= self.jobs[ref].cancel_at)
        self._ask(self.luck.choice(kinds), ref, name)

    def cancel_now(self, count: int, hang_s: float = 0.0) -> list[str]:
        """Users call off so many jobs that run, within a fifth of a second; some of their machines hang that long."""
        running = sorted({t.rpartition("/")[0] for t in self._tasks})
        refs = [r for r in running if not self.jobs[r].over][:count]
        for ref in refs:
            at = self.loop.time + self.luck.uniform(0.0, 0.2)
            self.jobs[ref].cancel_at = min(self.jobs[ref].cancel_at, at)
            gevent.spawn_later(
                at - self.loop.time + 0.001, self._ask, "cancel", ref, self.luck.choice(self.controllers)
            )
        held = sorted({m for t, m in self._tasks.items() if t.rpartition("/")[0] in refs})[: 8 if hang_s else 0]
        for name in held:
            self.machines[name].hung = True
            gevent.spawn_later(hang_s, setattr, self.machines[name], "hung", False)
        return refs

    def odd_request(self) -> None:
        """Somebody sends what can't run or lacks a field, repeats an accepted id with nonsense, asks about no job."""
        names = [n for n in self.controllers if self._serves(n)]
        if not names:
            return
        at = self.luck.choice(names)
        node, known = self.nodes[at], [r for r, j in self.jobs.items() if j.accepted_at is not None]
        assert node is not None
        spec = dict(next(iter(self.jobs.values())).spec, ref=f"j-{900000 + self.luck.randrange(90000):06d}")
        kind = self.luck.randrange(4 if known else 3)
        asked = self.loop.time
        if kind == 0:
            del spec[self.luck.choice([f for f in spec if f not in ("ref", "hulls", "quay", "dueS")])]
        elif kind == 1:
            field, value = self.luck.choice(
                [("cpus", 17.0), ("ramGb", 65.0), ("crew", "nobody"), ("shards", 0), ("shards", "x"), ("cpus", -1.0),
                 ("hulls", ["none"]), ("quay", "nowhere"), ("cards", 5.0), ("shape", "ring"), ("shards", 100_001)]
            )  # fmt: skip
            spec[field] = value
        elif kind == 2:
            answer = node.users.poll(str(spec["ref"]))
            if answer.status == 200:
                self.wrong.append(f"{asked:.2f} {spec['ref']} was invented by {at}")
            return
        else:
            ref = self.luck.choice(known)
            answer = node.users.submit(json.dumps({**self.jobs[ref].spec, "shards": "x", "crew": "nobody"}).encode())
            if answer.status not in (200, 503):
                self.wrong.append(f"{asked:.2f} {ref} accepted, its repeat with nonsense answered {answer.status}")
            return
        answer = node.users.submit(json.dumps(spec).encode())
        if answer.status not in (400, 422, 503):
            self.wrong.append(f"{asked:.2f} {spec['ref']}: answered {answer.status} though it can't run: {spec}")

    def odd_requests(self, until_s: float) -> None:
        def go() -> None:
            while self.loop.time < until_s:
                gevent.spawn(self.odd_request)
                gevent.sleep(0.3)

        gevent.spawn(go)

    def longest_unanswered(self) -> tuple[float, str]:
        """The job that was left without an answer for the longest since all troubles were over, and for how long."""
        now = self.loop.time
        waits = [
            (max(j.unanswered_s, now - max(j.answered_at, self.calm_at)), ref)
            for ref, j in self.jobs.items()
            if j.accepted_at is not None
        ]
        return max(waits, default=(0.0, ""))

    def crowd(self, every_s: float, until_s: float) -> None:
        """Users who go on submitting jobs of both teams."""

        def go() -> None:
            while self.loop.time < until_s:
                ref = self.submit(
                    self.rng.choice(["red", "blue"]), self.rng.randint(1, 12), self.rng.choice([1.0, 2.0])
                )
                if self.luck.random() < self.cancelling:
                    # queued, starting or running, by then
                    self.jobs[ref].cancel_at = self.loop.time + self.luck.uniform(0.0, 40.0)
                gevent.sleep(every_s)

        gevent.spawn(go)

    def longest_pause(self, since: float, until: float) -> float:
        """The longest stretch without a start, in seconds."""
        times = [since, *(t for t in self.starts if since < t < until), until]
        return max(b - a for a, b in itertools.pairwise(times))

    # what came of it --------------------------------------------------------------------------------------

    def settled(self, most_s: float) -> list[str]:
        """All troubles are over: lets everybody go on until all is done, or for so long, and says what is wrong.

        Rules that were broken; jobs that were accepted, not cancelled, and not done; a job that was left without an
        answer for `FORGOTTEN_S`, for which it plays on in any case.
        """
        self.calm_at = self.loop.time
        left = ["all"]
        while self.loop.time < self.calm_at + most_s and (left or self.loop.time < self.calm_at + FORGOTTEN_S + 5.0):
            for _ in range(2):
                gevent.sleep(5)
                self._look_at_waiting()
            left = [ref for ref, j in self.jobs.items() if j.accepted_at is not None and not j.over and not j.broken]
        waited, ref = self.longest_unanswered()
        if waited > FORGOTTEN_S:
            left.append(f"{ref} unanswered for {waited:.1f} s")
        return self.broken() + left

    def _look_at_waiting(self) -> None:
        """Which jobs wait though machines that fit have room and their teams are under their limits."""
        # the most since the last look: one of two tasks that follow each other is not room
        use, limits, self._peak = self._peak, self._limits(), self._use_of_teams()
        free = {name: ROOM for name, seat in self.machines.items() if not seat.dead}
        for task, name in self._tasks.items():
            if name in free:
                free[name] -= self.jobs[task.rpartition("/")[0]].cpus
        zone_of = {name: seat.zone for name, seat in self.machines.items()}
        taken = self.finished | self._tasks.keys()
        for ref, job in self.jobs.items():
            waiting = any(f"{ref}/{i}" not in taken for i in range(job.tasks))
            there = [self.machines[m].zone for t, m in self._tasks.items() if t.rpartition("/")[0] == ref]
            asks = job.tasks if job.gang else 1
            under = all(
                u + asks * a <= most + 1e-6
                for u, a, most in zip(
                    use.get(job.team, (0.0, 0.0)), (job.cpus, job.cards), limits[job.team], strict=True
                )
            )
            could = job.accepted_at is not None and not job.over and not job.broken and waiting and under
            if could and not (job.gang and there) and job.fits(free, zone_of, there):
                since = self._waits.setdefault(ref, self.loop.time)
                if self.loop.time - since > WAITED_S:
                    self.left_waiting.append(f"{ref} has waited since {since:.1f} though it could begin")
                    self._waits[ref] = math.inf
            else:
                self._waits.pop(ref, None)

    def broken(self) -> list[str]:
        """Rules that were broken, as workers and users saw it."""
        return [
            *(f"twice: {t}" for t in self.twice),
            *(f"limit: {t}" for t in self.over),
            *(f"ran cancelled: {t}" for t in self.late),
            *self.wrong,
            *self.left_waiting,
            *(f"two leaders at {t:.1f}" for t in self.both),
        ]
