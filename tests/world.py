"""In-memory stand-ins for the state service, the cloud, the workers and the network, on a fake clock."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from grebestand.doors.peers import PeerDoor
from grebestand.doors.users import UserDoor
from grebestand.features.hooks import Features
from grebestand.leading.leadership import Leadership
from grebestand.leading.pen import Pen
from grebestand.leading.term import Term
from grebestand.limits.budget import Budget
from grebestand.limits.load import Load
from grebestand.outside.cloud import CloudClient
from grebestand.outside.http import Unreachable
from grebestand.outside.peer import Peer
from grebestand.outside.state import StateClient
from grebestand.process.handover import Handover
from grebestand.records.finals import Finals
from grebestand.settings import policy
from grebestand.settings.platform import Settings, parse
from grebestand.states import LeaderState
from grebestand.wire.cloud import MachineType
from grebestand.wire.peers import Hello
from grebestand.wire.workers import Orders, Report, TaskReport, TaskStatus, Why

SETTINGS = """
host_name = "node-0"
area = "a"
serve_on = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
count = 1
zones = ["a", "b"]
[[params.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[[params.teams]]
name = "blue"
cpus = 8.0
cpus_max = 64.0
[params.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 50.0
[params.state]
rps = 10000.0
write_rps = 10000.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 1000.0
list_lag_s = 5.0
"""


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class FakeState:
    """The state service's protocol over dictionaries."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.revision = 10
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.holds: dict[int, tuple[float, float]] = {}
        self.down = False
        self.lose_answers = 0  # the next so many changes are made, but nobody hears of it
        self.largest_txn = 0
        self.largest_value = 0

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        if self.down:
            return 503, b"{}"
        self._expire()
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        status, answer = self._route(method, url.path, query, json.loads(body) if body else {})
        if self.lose_answers and method == "POST" and url.path == "/commit":
            self.lose_answers -= 1
            raise Unreachable("the answer was lost")
        return status, json.dumps(answer).encode()

    def _expire(self) -> None:
        for hold, (_, end) in list(self.holds.items()):
            if self.clock.now > end:
                self._end(hold)

    def _end(self, hold: int) -> None:
        del self.holds[hold]
        for key in [k for k, (_, _, h) in self.data.items() if h == hold]:
            self.revision += 1
            self._remove(key)

    def _remove(self, key: str) -> None:
        if self.data.pop(key, None) is not None:
            self.log.append({"remove": key, "stamp": self.revision})

    def _route(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if path == "/store":
            return self._scan(query)
        if path.startswith("/store/"):
            found = self.data.get(path[7:])
            if found is None:
                return 404, {"logline": self.revision}
            return 200, {"k": path[7:], "value": found[0], "stamp": found[1]}
        if path == "/commit":
            return self._commit(body)
        if path == "/holds":
            self.revision += 1
            life = body["lifeMs"] / 1000
            self.holds[self.revision] = (life, self.clock.now + life)
            return 200, {"tenure": self.revision}
        if path.endswith("/touch"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            self.holds[hold] = (self.holds[hold][0], self.clock.now + self.holds[hold][0])
            return 200, {"tenure": hold}
        if path == "/changes":
            since = int(query["since"])
            events = [e for e in self.log if e["stamp"] > since and self._key(e).startswith(query["prefix"])]
            return 200, {"logline": self.revision, "events": events}
        return 404, {}

    @staticmethod
    def _key(event: dict[str, Any]) -> str:
        return str(event.get("set") or event.get("remove"))

    def _scan(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(k for k in self.data if k.startswith(query["prefix"]) and k > query.get("since", ""))
        page = keys[: int(query.get("page", 1000))]
        pairs = [{"k": k, "value": self.data[k][0], "stamp": self.data[k][1]} for k in page]
        return 200, {"pairs": pairs, "truncated": len(keys) > len(page), "logline": self.revision}

    def _commit(self, body: Any) -> tuple[int, Any]:
        failed = [c["k"] for c in body.get("if", ()) if self.data.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        changes = body.get("apply", ())
        self.largest_txn = max(self.largest_txn, len(changes))
        for change in changes:
            if "set" in change:
                self.largest_value = max(self.largest_value, len(json.dumps(change["value"], separators=(",", ":"))))
                if change.get("tenure") is not None and change["tenure"] not in self.holds:
                    return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        self.revision += 1
        for change in changes:
            if "set" in change:
                key = change["set"]
                self.data[key] = (change["value"], self.revision, change.get("tenure"))
                self.log.append({"set": key, "value": change["value"], "stamp": self.revision})
            else:
                self._remove(change["remove"])
        return 200, {"logline": self.revision}


class FakeCloud:
    def __init__(self) -> None:
        self.listed: list[dict[str, Any]] = []
        self.deleted: list[str] = []
        self.requests: dict[str, list[str]] = {}
        self.capacity = 100
        self.count = 100
        self.lose_answers = 0

    def request(self, method: str, path: str, body: bytes, timeout: float) -> tuple[int, bytes]:
        if path == "/machines":
            want = json.loads(body)
            if want["charter"] not in self.requests:
                n = min(want["howMany"], self.capacity)
                if n <= 0:
                    return 503, b'{"error":"no capacity"}'
                self.capacity -= n
                self.requests[want["charter"]] = [f"n-{self.count + i:06d}" for i in range(n)]
                self.count += n
            if self.lose_answers:
                self.lose_answers -= 1
                raise Unreachable("the answer was lost")
            return 200, json.dumps({"vessels": self.requests[want["charter"]]}).encode()
        if path == "/machines/delete":
            self.deleted += json.loads(body)["vessels"]
            return 200, b"{}"
        return 200, json.dumps({"vessels": self.listed, "truncated": False}).encode()


@dataclass
class Worker:
    """A worker that follows the protocol; what its tasks do is up to the test."""

    name: str
    zone: str = "a"
    spot: bool = False
    session: int = 1
    seq: int = 0
    token: int = 0
    notice_s: float | None = None
    reachable: bool = True
    tasks: dict[str, TaskStatus] = field(default_factory=dict)
    started: list[tuple[str, int]] = field(default_factory=list)

    def report(self) -> Report:
        self.seq += 1
        tasks = [msgspec.structs.replace(t) for t in self.tasks.values()]
        return Report(
            self.name, f"{self.name}:1", "m4", self.zone, self.spot, self.session, self.seq, self.token,
            self.notice_s, tasks,
        )  # fmt: skip

    def obey(self, orders: Orders) -> None:
        if orders.token < self.token:
            return
        self.token = orders.token
        for c in orders.commands:
            held = self.tasks.get(c.task)
            if c.op == "start" and (held is None or held.attempt != c.attempt):
                self.tasks[c.task] = TaskStatus(c.task, c.attempt, TaskReport.RUNNING)
                self.started.append((c.task, c.attempt))
            elif c.op == "stop" and held is not None and held.attempt == c.attempt:
                held.state, held.why = TaskReport.EXITED, Why.STOPPED
            elif c.op == "forget" and held is not None and held.state is TaskReport.EXITED:
                del self.tasks[c.task]

    def finish(self, task: str, why: Why = Why.DONE) -> None:
        self.tasks[task].state, self.tasks[task].why = TaskReport.EXITED, why

    def lapse(self) -> None:
        """Its lease ran out: all tasks are killed and forgotten."""
        self.session += 1
        self.seq = 0
        self.tasks.clear()

    def running(self) -> list[str]:
        return sorted(t.task for t in self.tasks.values() if t.state is not TaskReport.EXITED)


TYPES = [MachineType("m4", 16.0, 0.0, 64.0, ["a", "b"], 50.0, 1.0, 1.0, 0.4, 30.0)]


class Node:
    """One controller's library parts, without servers or loops."""

    def __init__(self, world: World, name: str, features: Features | None = None) -> None:
        self.world = world
        self.name = name
        p = world.settings.params
        plenty = Budget(1e9, 1e9, world.clock, lambda s, f: None)
        self.state = StateClient(world.state, world.state, plenty, plenty)
        self.cloud = CloudClient(world.cloud, plenty)
        self.finals = Finals()
        self.features = features if features is not None else Features()
        self.users = UserDoor(
            self.state, p.teams, p.zones, int(p.state.value_kb * 1024) - 16, world.clock, world.clock,
            lambda: TYPES, lambda ident: (0, 0), self.finals, self.features,
        )  # fmt: skip
        self.leadership = Leadership(name, self.state, world.clock, 12.0)
        self.load = Load(p.quota, world.clock)
        self.term: Term | None = None

    def handover(self, *peers: Peer) -> Handover:
        """What decides whether this node gives way, with these other controllers."""
        clock = self.world.clock
        door = PeerDoor(list(peers), clock, lambda: Hello(self.name, 0, 0.0), lambda gone: None, self.features)
        w = self.world.settings.params.workers
        return Handover(self.name, w.report_s, self.leadership, door, self.load, clock, lambda: self.term)

    def lead(self) -> Term:
        p = self.world.settings.params
        self.leadership.look()
        assert self.leadership.state is LeaderState.LOADING, self.leadership.state
        pen = Pen(self.leadership, self.state, self.users.value_bytes, p.state.txn_ops)
        self.term = Term(
            self.world.settings, self.world.policy, pen, self.cloud, self.world.direct, self.world.clock,
            self.world.clock, self.finals, lambda: TYPES, self.load, self.features,
        )  # fmt: skip
        self.term.load()
        self.leadership.move(LeaderState.LEADING, "test")
        return self.term


class World:
    def __init__(self, settings: str = SETTINGS, rules: str = "rent = false\n") -> None:
        self.clock = Clock()
        self.settings: Settings = parse(settings)
        self.policy = policy.parse(rules, "test.toml", policy.default())
        self.state = FakeState(self.clock)
        self.cloud = FakeCloud()
        self.workers: dict[str, Worker] = {}
        self._jobs = 0

    def worker(self, name: str, **more: Any) -> Worker:
        w = self.workers[name] = Worker(name, **more)
        return w

    def direct(self, addr: str, path: str, body: bytes) -> tuple[int, bytes]:
        w = self.workers[addr.rpartition(":")[0]]
        if not w.reachable:
            raise Unreachable("cut off")
        orders = json.loads(body)
        stale = orders["helm"] < w.token or orders["watch"] != w.session
        if not stale:
            commands = msgspec.convert({"helm": orders["helm"], "signals": orders["signals"]}, Orders)
            w.obey(commands)
        return (409 if stale else 200), msgspec.json.encode(w.report())

    def job(self, **more: Any) -> bytes:
        self._jobs += 1
        spec = {
            "ref": f"j-{self._jobs:06d}", "lane": "train", "crew": "blue", "shape": "array", "rank": "standard",
            "shards": 1, "cpus": 1.0, "cards": 0.0, "ramGb": 1.0, "cargo": "img", "pullGb": 1.0, "hulls": None,
            "quay": None, "samePlace": False, "scatter": False, "driftwood": True, "reckonS": 60.0, "markS": 0.0,
            "stowS": 0.0, "dueS": None,
        }  # fmt: skip
        return json.dumps({**spec, **more}).encode()

    def records(self, prefix: str) -> dict[str, Any]:
        """All records that stand on the pages under a prefix."""
        return {n: r for k, v in self.state.data.items() if k.startswith(prefix) for n, r in v[0].items()}

    def accept(self, node: Node, **more: Any) -> str:
        body = self.job(**more)
        answer = node.users.submit(body)
        assert answer.status == 201, answer
        if node.term is not None:
            node.term.jobs.watch()
        return str(json.loads(answer.body)["ref"])

    def checkin(self, term: Term, worker: Worker, lose: bool = False) -> Orders | None:
        orders = term.checkin(worker.report())
        if isinstance(orders, Orders) and not lose:
            worker.obey(orders)
        return orders if isinstance(orders, Orders) else None

    def settle(self, term: Term, rounds: int = 4, step_s: float = 1.0) -> None:
        """Some rounds of everybody reporting and the leader's steps."""
        for _ in range(rounds):
            self.clock.now += step_s
            term.leadership.renew()
            term.jobs.watch()
            term.roster.record()
            for w in self.workers.values():
                if w.reachable:
                    self.checkin(term, w)
            for m in [term.fleet.at(i) for i in term.dispatch.urgent]:
                if m is not None and self.workers[m.name].reachable:
                    term.proof.order_stops(m)
            term.dispatch.urgent = set()
            term.fleet.sweep_silence(self.clock.now)
            term.proof.check(self.clock.now)
            term.closing.close_jobs()
            term.progress.save()
