"""`grebestand rehearse scale`: real controllers as processes under the load of a large cluster of hollow workers.

State service, cloud, hollow workers, users and one worker beside them are processes of their own (`child`), on
loopback. Half way the leader is killed, at three quarters a controller that answers and does not lead. What is asked
is drawn from the seed; when exactly things happen is up to real processes. The verdict is that of `scale_check`.
"""

from __future__ import annotations

import os
import random
import resource
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any, TypeVar

import gevent
import msgspec

from ..clients.http import HttpTransport, UnreachableError
from ..emulators.controller_processes import ControllerProcesses
from ..leader.election import LEADER_KEY
from ..wire.cloud import MachineType
from ..wire.store import KeyValue
from . import figures
from .connection import Connection, NoResponseError, Traffic
from .figures import Sample
from .hollow_workers import HollowPlan, KeptRecords, Row, Unserved
from .part_process import UP_S, PartProcess
from .procfs import sockets, usage
from .scale_check import ScaleVerdict, check
from .scale_users import JobRow, LoadPlan, PollRecord

T = TypeVar("T", KeptRecords, PollRecord)

ZONES = ("a", "b", "c", "d")
TYPE, CPUS = "m16", 16.0
#: the machine whose worker has a process of its own
WORKER = "n-000000"
#: limits of teams, in CPUs; the first has the largest, so that every gang is allowed somewhere
LIMITS = (512.0, 256.0, 128.0, 64.0)
#: of all CPUs, those that are guaranteed to teams
GUARANTEED = 0.5
POLICY = "rent = false\nidle_return_s = 1000000\ndead_after_s = 100000\n"
#: a controller that was killed starts again after so many seconds, and is there after so many more at the latest
BACK_S, THERE_S = 4.0, 6.0
#: urgent jobs that were accepted less than so many seconds before it are not counted as before the first kill
CALM_S = 6.0
#: open files of a controller that are no sockets
FILES = 32
#: workers are waited for so long before the load begins, and so long without one more; what is left at the end of the
#: load may be done for so long
SETTLE_S, STILL_S, DRAIN_S = 45.0, 8.0, 30.0
MOST_MEMORY_MB = 12_000.0
#: sockets are counted each so many samples
SOCKETS_EACH = 3
#: below this share of the rate asked for, or above this share of a core, a figure is that of the machine
BORNE, BUSY = 0.9, 0.85


@dataclass(frozen=True)
class ScaleRunPlan:
    """What is run. `rate`: starts of tasks a second; the state service's limits are a second's."""

    workers: int = 2600
    controllers: int = 6
    teams: int = 710
    rate: float = 1600.0
    seconds: float = 60.0
    seed: int = 7
    hollow: int = 4
    task_s: tuple[float, float] = (8.0, 12.0)
    report_s: float = 3.5
    lease_s: float = 30.0
    gang_wait_s: float = 30.0
    gang_peer_s: float = 8.0
    cancel_s: float = 50.0
    sockets: int = 1752
    state_rps: float = 800.0
    write_rps: float = 200.0
    value_kb: float = 8.0
    txn_ops: int = 48

    @property
    def cpus(self) -> float:
        """CPUs of all workers."""
        return self.workers * CPUS

    @property
    def urgent_rate(self) -> float:
        """Urgent jobs a second."""
        return max(0.5, self.rate / 400.0)

    def limits(self) -> dict[str, float]:
        """What each team may use, in CPUs."""
        rng = random.Random(f"{self.seed} teams")
        names = [f"team-{i:03d}" for i in range(self.teams)]
        return {n: LIMITS[0] if i == 0 else rng.choice(LIMITS) for i, n in enumerate(names)}

    def params(self) -> str:
        """The controllers' settings, but for names and addresses."""
        share = GUARANTEED * self.cpus / self.teams
        teams = "".join(
            f'[[params.teams]]\nname = "{n}"\ncpus = {min(share, limit):.1f}\ncpus_max = {limit}\n'
            for n, limit in self.limits().items()
        )
        zones = ", ".join(f'"{z}"' for z in ZONES)
        return (
            f"zones = [{zones}]\n{teams}[params.workers]\nreport_s = {self.report_s}\nlease_s = {self.lease_s}\n"
            f"gang_wait_s = {self.gang_wait_s}\ngang_peer_s = {self.gang_peer_s}\ncancel_s = {self.cancel_s}\n"
            f"[params.state]\nrps = {self.state_rps}\nwrite_rps = {self.write_rps}\nvalue_kb = {self.value_kb}\n"
            f"txn_ops = {self.txn_ops}\n[params.cloud]\nrps = 100.0\nlist_lag_s = 5.0\n"
            f"[params.quota]\nsockets = {self.sockets}\n"
        )


@dataclass
class ScaleRunResult:
    """The verdict of a run, one line that says it, and all figures."""

    verdict: ScaleVerdict
    line: str
    figures: dict[str, Any]


@dataclass
class ControllerKill:
    """A controller that the run ended, and when."""

    name: str
    role: str
    at: float


@dataclass
class ScaleRunHistory:
    """What all processes have kept, together."""

    rows: list[Row] = field(default_factory=list)
    unserved: list[Unserved] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    jobs: list[JobRow] = field(default_factory=list)
    limits: dict[str, float] = field(default_factory=dict)


class ScaleRun:
    """One run: controllers, hollow workers and users in processes, two kills, and what was measured."""

    def __init__(self, plan: ScaleRunPlan, root: Path, say: Callable[[str], None]) -> None:
        self.plan = plan
        self.root = root
        self.say = say
        self.clock = time.monotonic
        self.parts: dict[str, PartProcess] = {}
        self.controllers: ControllerProcesses | None = None
        self.samples: list[Sample] = []
        self.kills: list[ControllerKill] = []
        self.hollow = [f"hollow-{i}" for i in range(min(plan.hollow, plan.workers))]
        self._state: HttpTransport | None = None
        #: what has to be said of the machine, and not of the service
        self.not_borne: list[str] = []

    # processes --------------------------------------------------------------------------------------------

    def _part(self, name: str, role: str, config: object) -> PartProcess:
        part = self.parts[name] = PartProcess(name, role, config, self.root)
        return part

    def _start(self) -> ControllerProcesses:
        plan = self.plan
        machine = MachineType(TYPE, CPUS, 0.0, 64.0, list(ZONES), 100.0, 1.0, 1.0, 0.4, 60.0)
        state = self._part("state", "state", {"rps": plan.state_rps, "write_rps": plan.write_rps}).ready()["state"]
        shared = self._part("meeting", "meeting", {"types": msgspec.to_builtins([machine])}).ready()
        host, _, port = state.rpartition(":")
        self._state = HttpTransport(host, int(port), 1)
        names = {f"controller-{i}": ZONES[i % len(ZONES)] for i in range(plan.controllers)}
        outside = {"cloud": shared["cloud"], "state": state}
        controllers = self.controllers = ControllerProcesses(
            names, outside, self.root, plan.params(), POLICY, plan.sockets + FILES
        )
        # each machine has a host of its own on loopback: 127.(16 + part).x.y
        machines = [
            (f"n-{i + 1:06d}", f"127.{16 + i % len(self.hollow)}.{i // 200 % 256}.{i % 200 + 1}", ZONES[i % len(ZONES)])
            for i in range(plan.workers)
        ]
        groups = {h: machines[i :: len(self.hollow)] for i, h in enumerate(self.hollow)}
        groups["worker"] = [(WORKER, "127.15.0.1", ZONES[0])]
        for i, (name, group) in enumerate(groups.items()):
            config = HollowPlan(
                group, TYPE, CPUS, controllers.addresses, shared["meeting"], plan.report_s, plan.lease_s,
                plan.gang_wait_s, plan.gang_peer_s, plan.seed * 1000 + i,
            )  # fmt: skip
            self._part(name, "hollow", config)
        load = LoadPlan(
            controllers.addresses, shared["meeting"], plan.limits(), plan.rate, plan.urgent_rate, plan.task_s,
            int(min(512.0, plan.cpus / 4)), plan.seed,
        )  # fmt: skip
        self._part("users", "users", load)
        for part in self.parts.values():
            part.ready()
        controllers.start_all()
        self._listening(controllers)
        for name in groups:
            self.parts[name].do(do="begin")
        return controllers

    def _listening(self, controllers: ControllerProcesses) -> None:
        """Until all of them take connections: none is refused before anything is asked of them."""
        end = self.clock() + UP_S
        for address in controllers.addresses.values():
            while True:
                try:
                    Connection(address, Traffic()).ask("GET", "/healthz", b"", 1.0)
                    break
                except NoResponseError as e:
                    if self.clock() > end:
                        raise RuntimeError(f"not all controllers came up: {controllers.last_words()}") from e
                    gevent.sleep(0.1)

    def stop(self) -> None:
        """Ends all that this has started, and nothing else."""
        if self.controllers is not None:
            self.controllers.stop()
        for part in reversed(self.parts.values()):
            part.stop()

    # looking ----------------------------------------------------------------------------------------------

    def leader(self) -> str | None:
        """Who leads, by the state service; one of its requests."""
        assert self._state is not None
        try:
            status, body = self._state.request("GET", f"/store/{LEADER_KEY}", b"", 2.0)
        except UnreachableError:
            return None
        return str(msgspec.json.decode(body, type=KeyValue).value["name"]) if status == 200 else None

    def _sample(self, controllers: ControllerProcesses) -> Sample:
        pids = {n: p.pid for n, p in self.parts.items()}
        pids |= {n: pid for n in controllers.names if (pid := controllers.pid(n)) is not None}
        found = Sample(self.clock(), self.leader())
        for name, pid in pids.items():
            used = usage(pid)
            if used is not None:
                found.cpu_s[name], found.memory_mb[name] = used.cpu_s, used.memory_mb
        if len(self.samples) % SOCKETS_EACH == 0:
            found.sockets = {name: sockets(pid) for name, pid in pids.items()}
        found.counts = {n: p.counts for n, p in self.parts.items()}
        found.answers = figures.answers(p.counts for n, p in self.parts.items() if n in (*self.hollow, "worker"))
        for name in (*self.hollow, "worker"):
            for at, count in self.parts[name].counts.get("bytes_at", {}).items():
                found.bytes_at[at] = found.bytes_at.get(at, 0) + count
        self.samples.append(found)
        memory = sum(found.memory_mb.values())
        if memory > MOST_MEMORY_MB:
            raise RuntimeError(f"its processes take {memory:.0f} MB, more than {MOST_MEMORY_MB:.0f}")
        for name, part in self.parts.items():
            if not part.alive:
                raise RuntimeError(f"{name} has ended: {part.last_words()}")
        return found

    def _answered(self) -> int:
        return sum(int(self.parts[n].counts.get("answered", 0)) for n in (*self.hollow, "worker"))

    def _settle(self, controllers: ControllerProcesses) -> None:
        """Until somebody leads and each worker has had orders once, or no more do."""
        begin = still = self.clock()
        most, wanted = 0, self.plan.workers + 1
        while self.clock() - begin < SETTLE_S:
            gevent.sleep(0.5)
            if not any(controllers.alive(n) for n in controllers.names):
                raise RuntimeError(f"no controller is left: {controllers.last_words()}")
            answered = self._answered()
            if answered > most:
                most, still = answered, self.clock()
            if answered == wanted and self.parts["users"].counts.get("healthy", 0):
                break
            if most and self.clock() - still > STILL_S:
                break
        if most == 0:
            raise RuntimeError(f"no worker was answered in {SETTLE_S:.0f} s: {controllers.last_words()}")
        self.say(f"{most} of {wanted} workers have had orders, {self.clock() - begin:.1f} s after the start")
        if most < wanted:
            self.say(f"{wanted - most} workers were never answered with orders; the load begins all the same")

    # the run ----------------------------------------------------------------------------------------------

    def run(self) -> ScaleRunResult:
        """Play the whole run and judge it."""
        plan = self.plan
        try:
            controllers = self._start()
            self.say(f"{len(self.parts)} processes and {plan.controllers} controllers; waiting for workers")
            self._settle(controllers)
            self.parts["users"].do(do="begin")
            begin = self.clock()
            self._load(controllers, begin)
            end = self.clock()
            self.parts["users"].tell(do="rest")
            self._drain(controllers)
            self.say("asking about all accepted jobs")
            self.parts["users"].do(do="ask")
            last = self._sample(controllers)
            history = self._collect()
            return self._outcome(controllers, history, begin, end, last)
        finally:
            self.stop()

    def _load(self, controllers: ControllerProcesses, begin: float) -> None:
        plan = self.plan
        due = [(begin + plan.seconds * 0.5, self._kill_leader), (begin + plan.seconds * 0.75, self._kill_answering)]
        told = begin
        while (now := self.clock()) < begin + plan.seconds:
            sample = self._sample(controllers)
            if due and now >= due[0][0] and due[0][1](controllers, sample):
                due.pop(0)
            if now - told >= 5.0:
                told = now
                self._progress(sample)
            gevent.sleep(max(0.1, 1.0 - (self.clock() - now)))
        if due:
            self.say(f"{len(due)} of 2 kills found nobody to kill in time")

    def _progress(self, sample: Sample) -> None:
        users = self.parts["users"].counts
        running = sum(int(self.parts[n].counts.get("running", 0)) for n in self.hollow)
        before = next((s for s in reversed(self.samples) if sample.at - s.at >= 4.5), self.samples[0])
        w = figures.window([before, sample], controllers=self._names(), hollow=self.hollow)
        roles = w.get("roles", {})
        told = ", ".join(
            f"{r} {roles[r]['cpu_share']:.2f}"
            for r in ("leader", "answering", "state", "hollow-0", "users", "worker")
            if r in roles
        )
        self.say(
            f"jobs {users.get('done', 0)} done of {users.get('jobs', 0)}, tasks running {running}, "
            f"reports {w.get('reports_per_s', 0.0):.0f}/s; leader {sample.leader}; cores: {told}"
        )

    def _names(self) -> list[str]:
        return self.controllers.names if self.controllers is not None else []

    def _kill_leader(self, controllers: ControllerProcesses, sample: Sample) -> bool:
        name = sample.leader
        if name is None or not controllers.alive(name):
            return False
        self._kill(controllers, name, "leader")
        return True

    def _kill_answering(self, controllers: ControllerProcesses, sample: Sample) -> bool:
        """The one that has answered most reports lately, the leader apart."""
        if sample.leader is None:
            return False
        before = self.samples[max(0, len(self.samples) - 6)]
        names = [n for n in controllers.names if n != sample.leader and controllers.alive(n)]

        def lately(name: str) -> int:
            now, then = sample.answers.get(name, {}), before.answers.get(name, {})
            return sum(now.get(s, 0) - then.get(s, 0) for s in figures.STATUSES)

        if names:
            self._kill(controllers, max(names, key=lately), "answering")
        return True

    def _kill(self, controllers: ControllerProcesses, name: str, role: str) -> None:
        self.say(f"{name} ({role}) is killed, and starts again after {BACK_S:.0f} s")
        self.kills.append(ControllerKill(name, role, self.clock()))
        controllers.kill(name)
        gevent.spawn_later(BACK_S, controllers.start, name)

    def _drain(self, controllers: ControllerProcesses) -> None:
        begin = self.clock()
        while self.clock() - begin < DRAIN_S:
            self._sample(controllers)
            users = self.parts["users"].counts
            if users.get("done") == users.get("accepted") and self.clock() - begin > BACK_S:
                break
            gevent.sleep(1.0)
        users = self.parts["users"].counts
        self.say(f"{users.get('accepted', 0) - users.get('done', 0)} accepted jobs are not done at the end")

    def _collect(self) -> ScaleRunHistory:
        history = ScaleRunHistory(limits=self.plan.limits())
        for name in (*self.hollow, "worker"):
            kept = self._kept(name, KeptRecords)
            history.rows += kept.rows
            history.unserved += kept.unserved
            history.sent_at += kept.sent_at
            history.waits += kept.waits
        asked = self._kept("users", PollRecord)
        history.jobs, history.unserved = asked.jobs, history.unserved + asked.unserved
        return history

    def _kept(self, name: str, kind: type[T]) -> T:
        file = self.root / f"{name}.kept"
        told = self.parts[name].do(do="keep", file=str(file))
        if told["faults"]:
            self.say(f"{name} had {told['faults']} faults of its own, the last one: {self.parts[name].last_words()}")
        return msgspec.msgpack.decode(file.read_bytes(), type=kind)

    # figures ----------------------------------------------------------------------------------------------

    def _outcome(
        self, controllers: ControllerProcesses, history: ScaleRunHistory, begin: float, end: float, last: Sample
    ) -> ScaleRunResult:
        plan = self.plan
        verdict = check(history.rows, history.jobs, history.limits)
        calm_from = begin + min(12.0, plan.seconds / 4)
        calm_to = self.kills[0].at if self.kills else end
        calm = [s for s in self.samples if calm_from <= s.at <= calm_to]
        loaded = [s for s in self.samples if begin <= s.at <= end]
        windows = {
            "calm": figures.window(calm, controllers.names, self.hollow),
            "whole": figures.window(loaded, controllers.names, self.hollow),
        }
        started = figures.starts(history.rows, begin, end)
        rates = {"calm": figures.starts(history.rows, calm_from, calm_to) / max(1e-9, calm_to - calm_from)}
        rates["whole"] = started / (end - begin)
        urgent = figures.urgent(history.rows, history.jobs, last.at)
        before = [j for j in history.jobs if (j.accepted_at or end) < calm_to - CALM_S]
        refused = [u for u in history.unserved if not self._down(u)]
        logs = self._logs(controllers)
        found = {
            "plan": asdict(plan),
            "machine": {"cores": os.cpu_count(), "load_average": os.getloadavg()},
            "note": "controllers are not limited to a share of a core here: what they use is measured",
            "starts": started,
            "starts_per_s": rates,
            "asked_per_s": sum(j.tasks for j in history.jobs) / (end - begin),
            "windows": windows,
            "slopes": figures.slopes(plan.workers, plan.controllers, rates, windows),
            "worker_starts": sum(r.what == "run" and r.machine == WORKER for r in history.rows),
            "orders_wait": {
                "calm": figures.spread(
                    [w for t, w in zip(history.sent_at, history.waits, strict=True) if calm_from <= t < calm_to]
                ),
                "whole": figures.spread(
                    [w for t, w in zip(history.sent_at, history.waits, strict=True) if begin <= t < end]
                ),
            },
            "urgent": urgent,
            "urgent_before_the_first_kill": figures.urgent(history.rows, before, last.at),
            "answers": last.answers,
            "workers_at": {n: sum(p.counts["at"][n] for m, p in self.parts.items() if m in (*self.hollow, "worker"))
                           for n in controllers.names},
            "users": self.parts["users"].counts,
            "hollow": {n: self.parts[n].counts for n in (*self.hollow, "worker")},
            "refused": self._kinds(refused),
            "refused_while_killed": self._kinds([u for u in history.unserved if self._down(u)]),
            "kills": [asdict(k) | {"at": k.at - begin} for k in self.kills],
            "leaders": self._leaders(begin),
            "logs": logs,
            "verdict": asdict(verdict),
            "memory_mb": sum(last.memory_mb.values()),
            "processes": len(last.cpu_s) + 1,
            "parent_cpu_s": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]),
            "timeline": self._timeline(begin, controllers),
        }  # fmt: skip
        self._tell(found, verdict)
        p99 = urgent["by_size"].get("all", {}).get("p99")
        slowest = "none" if p99 is None else f"{p99:.2f}"
        line = (
            f"workers {plan.workers}, controllers {plan.controllers}, "
            f"starts {started} ({rates['whole']:.0f} a second), urgent 99% {slowest} s, "
            f"twice {verdict.twice}, lost {verdict.lost}, over quota {verdict.over_quota}, "
            f"refused connections {len(refused)}"
        )
        return ScaleRunResult(verdict, line, found)

    def _down(self, u: Unserved) -> bool:
        """Whether the run itself kept that controller down; who is taken in, and then not answered, is not."""
        if u.kind == "timeout":
            return False
        kills = [k for k in self.kills if k.name == u.controller]
        return any(k.at - 0.5 <= u.at <= k.at + BACK_S + THERE_S for k in kills)

    @staticmethod
    def _kinds(found: list[Unserved]) -> dict[str, int]:
        kinds: dict[str, int] = {}
        for u in found:
            key = f"{u.controller} {u.kind}"
            kinds[key] = kinds.get(key, 0) + 1
        return kinds

    def _leaders(self, begin: float) -> list[tuple[float, str | None]]:
        """When another one was seen to lead, in seconds from the beginning of the load."""
        found: list[tuple[float, str | None]] = []
        for s in self.samples:
            if not found or found[-1][1] != s.leader:
                found.append((round(s.at - begin, 1), s.leader))
        return found

    def _logs(self, controllers: ControllerProcesses) -> dict[str, int]:
        """How often the controllers' logs have what an operator looks for."""
        words = ("Too many open files", "could not be renewed in time", "Traceback", "rate budget exhausted")
        texts = [(self.root / f"{n}.log").read_text("utf-8", "replace") for n in controllers.names]
        return {w: sum(t.count(w) for t in texts) for w in words}

    def _timeline(self, begin: float, controllers: ControllerProcesses) -> list[dict[str, Any]]:
        rows = []
        for a, b in pairwise(self.samples):
            seconds = b.at - a.at
            rows.append({
                "at": round(b.at - begin, 2),
                "leader": b.leader,
                "cpu": {n: round((b.cpu_s[n] - a.cpu_s[n]) / seconds, 3) for n in b.cpu_s if n in a.cpu_s},
                "sockets": {n: b.sockets[n] for n in controllers.names if n in b.sockets},
                "memory_mb": {n: round(b.memory_mb[n], 1) for n in controllers.names if n in b.memory_mb},
                "writes": b.counts["state"].get("writes", 0) - a.counts["state"].get("writes", 0),
                "requests": b.counts["state"].get("requests", 0) - a.counts["state"].get("requests", 0),
                "running": sum(b.counts[h].get("running", 0) for h in self.hollow),
            })  # fmt: skip
        return rows

    def _tell(self, found: dict[str, Any], verdict: ScaleVerdict) -> None:
        """In words: the figures that matter, what the machine did not bear, and what is wrong."""
        say = self.say
        for name, w in found["windows"].items():
            if not w:
                continue
            say(
                f"{name}, {w['seconds']:.0f} s: starts {found['starts_per_s'][name]:.0f}/s, "
                f"reports {w['reports_per_s']:.0f}/s, answered by "
                + " ".join(f"{n}: {r:.0f}/s" for n, r in w["answered_by"].items())
            )
            for role, r in sorted(w["roles"].items()):
                more = f", bytes {r['bytes_per_s']:.0f}/s" if "bytes_per_s" in r else ""
                more += f", writes {r['writes_per_s']:.0f}/s" if "writes_per_s" in r else ""
                if "reports_per_s" in r:
                    more += ", reports by answer " + " ".join(f"{s}: {n:.0f}/s" for s, n in r["reports_per_s"].items())
                say(
                    f"  {role}: {r['cpu_share']:.3f} of a core (most {r['cpu_share_max']:.2f}), "
                    f"{r['memory_mb']:.0f} MB, sockets {r['sockets']}, "
                    f"messages {r.get('messages_per_s', 0.0):.0f}/s{more}"
                )
            worker = w["roles"].get("worker")
            if worker is not None:
                limit = figures.WORKER_LIMITS
                say(
                    f"  one worker process: {100 * worker['cpu_share']:.2f}% of a core (may {limit['cpu_percent']}%), "
                    f"{worker['memory_mb']:.1f} MB (may {limit['memory_mb']:.0f}), "
                    f"{worker['bytes_per_s']:.0f} bytes/s (may {limit['bytes_per_s']:.0f}), "
                    f"{worker['messages_per_s']:.2f} messages/s; {found['worker_starts']} tasks ran there in all"
                )
            wait = found["orders_wait"][name]
            if wait["count"]:
                say(f"  wait for the orders: p50 {wait['p50']:.3f} p95 {wait['p95']:.3f} p99 {wait['p99']:.3f} s")
            if name == "calm" and found["starts_per_s"][name] < BORNE * self.plan.rate:
                self.not_borne.append(
                    f"{found['starts_per_s'][name]:.0f} starts a second of {self.plan.rate:.0f} asked for"
                )
        for size, s in found["urgent_before_the_first_kill"]["by_size"].items():
            say(f"urgent before the first kill, tasks {size}: {s['count']:.0f} jobs, p50 {s['p50']:.2f} "
                f"p95 {s['p95']:.2f} p99 {s['p99']:.2f} max {s['max']:.2f} s")  # fmt: skip
        for size, s in found["urgent"]["by_size"].items():
            say(f"urgent, tasks {size}: {s['count']:.0f} jobs, p50 {s['p50']:.2f} p95 {s['p95']:.2f} "
                f"p99 {s['p99']:.2f} max {s['max']:.2f} s")  # fmt: skip
        if found["urgent"]["never"]:
            say(f"{found['urgent']['never']} urgent jobs never ran whole; counted as waiting until the end")
        say(f"connections that got no answer: {found['refused'] or 'none'}; "
            f"at controllers that were killed: {found['refused_while_killed'] or 'none'}")  # fmt: skip
        say(f"workers at each controller at the end: {found['workers_at']}")
        say(f"{found['processes']} processes took {found['memory_mb']:.0f} MB; parent {found['parent_cpu_s']:.1f} s")
        say(f"leaders: {found['leaders']}; in the logs: {found['logs']}; {found['note']}")
        whole = found["windows"]["whole"].get("roles", {})
        for name in (*self.hollow, "users", "state", "meeting"):
            if whole.get(name, {}).get("cpu_share_max", 0.0) > BUSY:
                self.not_borne.append(f"{name} used up to {whole[name]['cpu_share_max']:.2f} of a core")
        late = sum(self.parts[n].counts.get("late_answers", 0) for n in self.hollow)
        if late:
            self.not_borne.append(f"{late} answers came while their hollow process was late")
        if found["machine"]["load_average"][0] > (os.cpu_count() or 1):
            self.not_borne.append(f"the load average is {found['machine']['load_average'][0]:.1f}")
        found["not_borne"] = self.not_borne
        for text in self.not_borne:
            say(f"not borne: {text}")
        for text in verdict.faults[:50]:
            say(f"wrong: {text}")
        if len(verdict.faults) > 50:
            say(f"and {len(verdict.faults) - 50} more")


def rehearse(plan: ScaleRunPlan, say: Callable[[str], None], keep: Path | None = None) -> ScaleRunResult:
    """Runs it in a directory that is removed afterwards, or in one that is kept."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return ScaleRun(plan, keep, say).run()
    with tempfile.TemporaryDirectory(prefix="grebestand-") as directory:
        return ScaleRun(plan, Path(directory), say).run()
