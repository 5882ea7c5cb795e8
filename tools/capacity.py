"""Computes the tables of docs/CAPACITY.md from the measured slopes in capacity.toml.

    python3 tools/capacity.py --page [--slopes FILE]     prints the tables of the page, between their markers
    python3 tools/capacity.py --write | --check          writes the tables into the page, or prints the differences

A slope is a measured cost as a function of size. All values of the page are computed from slopes; a value that depends
on a slope without a measurement is "open". Between measured sizes, a slope is a straight line if the residuals of the
line are small, and is interpolated on logarithmic scales otherwise. Values beyond the measured sizes are extrapolated
in the same way and marked with a star. Each row names the modules that implement its mechanism, or says that none does.
"""

from __future__ import annotations

import argparse
import math
import re
import statistics
import sys
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cache, cached_property
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(_ROOT / "src"), str(_ROOT / "target" / "deps")]

from grebestand.api.peer_api import CACHED_IMAGES_INTERVAL_S  # noqa: E402
from grebestand.clocks import CLOCK_MARGIN_S, MAX_CLOCK_DRIFT  # noqa: E402
from grebestand.controller.controller import CANCELLATION_BROADCAST_DELAY_S, LEASE_RENEW_INTERVAL_S  # noqa: E402
from grebestand.federation.circuit_breaker import LONGEST_PAUSE_S  # noqa: E402
from grebestand.flow_control.connection_limits import plan_connections  # noqa: E402
from grebestand.heartbeat_relay.forwarder import BATCH_DELAY_S, MAX_BATCH_HEARTBEATS  # noqa: E402
from grebestand.heartbeat_relay.worker_assignment import SHARE_SLACK  # noqa: E402
from grebestand.leader.machine_reconciliation import MAX_QUERIES  # noqa: E402
from grebestand.leader.provisioning import MAX_MACHINES_PER_REQUEST  # noqa: E402
from grebestand.leader.scheduling_loop import (  # noqa: E402
    MAX_REST_S,
    MIN_PASS_INTERVAL_S,
    MIN_TARGETS_INTERVAL_S,
    PASS_REST_FACTOR,
    TARGETS_REST_FACTOR,
)
from grebestand.settings import policy  # noqa: E402
from grebestand.settings.platform import ProcessLimits  # noqa: E402
from grebestand.storage.completed_jobs import MAX_COMPLETED_KEPT  # noqa: E402

SLOPES, PAGE, SOURCES = _ROOT / "tools" / "capacity.toml", _ROOT / "docs" / "CAPACITY.md", _ROOT / "src" / "grebestand"
MEASURED, WORKED_OUT, OPEN = "measured", "worked out", "open"
MEASURED_IN_PART = "measured; worked out where starred"
#: A slope is linear if a straight line misses each median by at most this share of the median.
MAX_LINEAR_RESIDUAL = 0.15
#: Shortest interval between two heartbeats of a worker, also after a change, as the protocol says, in seconds.
MIN_CHANGE_INTERVAL_S = 0.5
#: Heartbeat intervals are drawn uniformly from the set interval plus or minus this share, as the protocol says.
JITTER = 0.25
#: Longest interval between two status messages of a controller to a peer, and their timeout, in seconds; as set in
#: `controller/controller.py` and the peer client.
PEER_STATUS_S, PEER_STATUS_TIMEOUT_S = 1.1, 1.0
#: Longest time after which a watch request is repeated, so that tasks may start with newer state, in seconds; as set in
#: `leader/cancellation_horizon.py`.
WATCH_S = 1.0
#: Pause between two checks for allocations without a durable grant (`controller/controller.py`), and longest time for
#: which the response to a heartbeat waits for a grant, in seconds.
GRANT_CHECK_S, GRANT_WAIT_S = 0.1, 0.25
#: Longest time that scheduling may run without a yield, in seconds.
MAX_UNINTERRUPTED_S = 0.2
#: Time for which the response to a heartbeat may be held, in seconds: less than the age at which a relay abandons a
#: response, and than the four seconds after which a worker times out.
HOLD_RESPONSE_S = 2.9
#: Writes and messages to move a share of a quota between regions: the giver commits, the receiver commits, and the
#: giver commits again when the move is settled; there are two requests with responses.
MOVE_WRITES, MOVE_MESSAGES = 3, 4


class OpenSlopeError(Exception):
    """A value depends on a slope without a measurement."""


class SlopeError(Exception):
    """The file of slopes is inconsistent."""


def fit_line(xs: list[float], ys: list[float]) -> tuple[float, float]:
    """Return the intercept and the slope of a least-squares line."""
    mx, my = statistics.fmean(xs), statistics.fmean(ys)
    slope = sum((x - mx) * (y - my) for x, y in zip(xs, ys, strict=True)) / sum((x - mx) ** 2 for x in xs)
    return my - slope * mx, slope


@dataclass
class Slope:
    """A measured cost as a function of size.

    Attributes:
        name: Name of the slope.
        unit: Unit of the cost.
        per: What the size counts.
        state: `MEASURED` or `OPEN`.
        run: The run that measured the slope, or a note that there is none.
        sizes: Measured sizes, in ascending order.
        values: Values of all runs for each size.
        linear: Whether a straight line fits the medians; None with fewer than three sizes.
        note: A remark.
    """

    name: str
    unit: str
    per: str
    state: str
    run: str
    sizes: list[float] = field(default_factory=list)
    values: list[list[float]] = field(default_factory=list)
    linear: bool | None = None
    note: str = ""

    @cached_property
    def medians(self) -> list[float]:
        """Median of the values for each size."""
        return [statistics.median(v) for v in self.values]

    @property
    def spread(self) -> float:
        """Widest range of the values for one size, as a share of their median."""
        return max(((max(v) - min(v)) / m for v, m in zip(self.values, self.medians, strict=True) if m), default=0.0)

    @property
    def residual(self) -> float:
        """Largest distance of the least-squares line from a median, as a share of that median."""
        a, b = fit_line(self.sizes, self.medians)
        return max(abs(a + b * x - y) / y for x, y in zip(self.sizes, self.medians, strict=True))

    @property
    def power(self) -> float:
        """Exponent of a power law, fitted by least squares to the logarithms."""
        return fit_line([math.log(x) for x in self.sizes], [math.log(y) for y in self.medians])[1]

    def check(self) -> None:
        """Check that the fields of this slope are consistent.

        Raises:
            SlopeError: The fields contradict each other.
        """
        if self.state not in (MEASURED, OPEN) or not self.run:
            raise SlopeError(
                f"{self.name}: expected state {MEASURED!r} or {OPEN!r} and a run, "
                f"found state {self.state!r}, run {self.run!r}"
            )
        if (self.state == OPEN) != (not self.values) or len(self.sizes) != len(self.values):
            raise SlopeError(f"{self.name}: {self.state}, with {len(self.sizes)} sizes and {len(self.values)} values")
        if self.sizes != sorted(set(self.sizes)) or any(not v for v in self.values):
            raise SlopeError(
                f"{self.name}: expected ascending sizes with values for each, found {self.sizes} and {self.values}"
            )
        if (self.linear is None) != (len(self.sizes) < 3):
            raise SlopeError(
                f"{self.name}: expected `linear` exactly with three sizes or more, found linear = {self.linear} "
                f"with {len(self.sizes)} sizes"
            )
        if self.linear is not None and self.linear != (self.residual <= MAX_LINEAR_RESIDUAL):
            raise SlopeError(f"{self.name}: linear = {self.linear}, but a line misses by {self.residual:.0%}")

    def beyond(self, x: float) -> bool:
        """Return whether a size is outside the measured range; with one measured size, all other sizes are."""
        return bool(self.sizes and not self.sizes[0] <= x <= self.sizes[-1])

    def at(self, x: float) -> float:
        """Return the cost for a size, interpolated or extrapolated.

        Raises:
            OpenSlopeError: This slope was not measured.
        """
        if self.state == OPEN:
            raise OpenSlopeError(self.name)
        xs, ys = self.sizes, self.medians
        if len(xs) == 1:
            return ys[0]
        if self.linear or len(xs) == 2 or xs[0] <= 0:
            a, b = fit_line(xs, ys)
            return a + b * x
        if self.beyond(x):
            # Extrapolate from the nearest point by the power law of all points, since two points alone vary too much.
            end = 0 if x < xs[0] else -1
            return ys[end] * math.exp(self.power * math.log(x / xs[end]))
        i = next((i for i in range(len(xs) - 2) if x < xs[i + 1]), len(xs) - 2)
        grows = math.log(ys[i + 1] / ys[i]) / math.log(xs[i + 1] / xs[i])
        return ys[i] * math.exp(grows * math.log(x / xs[i]))

    def describe_shape(self) -> str:
        """Return a description of the shape of this slope."""
        if self.linear is None:
            return "one size" if len(self.sizes) == 1 else "two sizes"
        if self.linear:
            return f"linear, off by {self.residual:.0%} at most"
        return f"not linear: grows with the power {self.power:.1f}"


@dataclass(frozen=True)
class Size:
    """A cluster for which the page computes values.

    Attributes:
        name: Name of the cluster size.
        workers: Number of workers.
        starts_s: Task starts per second at the peak.
        running: Number of running tasks at the peak.
        jobs_day: Jobs per day.
        teams: Number of teams.
        controllers: Number of controllers.
    """

    name: str
    workers: float
    starts_s: float
    running: float
    jobs_day: float
    teams: float
    controllers: int


class CapacityModel:
    """The demand, limits, assumptions and slopes, from which all values of the page are computed.

    Attributes:
        demand: Figures of the service that the clusters must provide; the table "letter" of the file.
        split: How machines and controllers are distributed over regions and zones.
        limits: Limits of processes and of external services, and settings.
        assumed: Assumed figures that were not measured.
        slopes: Slopes by name.
        used: Slopes read since the last reset, and whether a size beyond the measured range was read.
    """

    def __init__(self, text: str) -> None:
        raw: dict[str, Any] = tomllib.loads(text)
        self.demand, self.split = raw["letter"], raw["split"]
        self.limits, self.assumed = raw["limits"], raw["assumed"]
        self.slopes = {s["name"]: Slope(**s) for s in raw["slope"]}
        if len(self.slopes) != len(raw["slope"]):
            raise SlopeError(f"expected distinct names, found {len(raw['slope'])} slopes with {len(self.slopes)} names")
        for s in self.slopes.values():
            s.check()
        self.used: dict[str, bool] = {}

    def at(self, name: str, x: float = 1.0) -> float:
        """Return the cost of a slope for a size, and record in `used` whether the size is beyond the measured range."""
        s = self.slopes[name]
        self.used[name] = self.used.get(name, False) or (len(s.sizes) > 1 and s.beyond(x))
        return s.at(x)

    def sizes(self) -> list[Size]:
        """Return the cluster sizes of the page, computed from the demand."""
        t, more = self.demand, self.demand["more"]
        part = self.split["zones_largest"] / t["zones"]

        def size(name: str, of: float, controllers: int) -> Size:
            w, s, r, j = (of * t[k] for k in ("workers", "starts_s", "running", "jobs_day"))
            return Size(name, w, s, r, j, t["teams"], controllers)

        region, whole = self.split["controllers"], t["controllers"]
        return [
            size("largest region", part, region),
            size("region, half as much again", part * more, region),
            size("all in one cluster", 1.0, whole),
            size("one cluster, half as much again", more, whole),
        ]

    def worker_reports(self, s: Size, report_s: float | None = None) -> float:
        """Return the heartbeats per second of one worker at the peak.

        Each start and each end of a task is a change. A worker reports a change at once, but not earlier than
        `MIN_CHANGE_INTERVAL_S` after the previous heartbeat; without a change the heartbeat interval passes.

        Args:
            s: Size of the cluster.
            report_s: Heartbeat interval in seconds; by default that of the limits.
        """
        changes = 2 * s.starts_s / s.workers
        rest = (report_s or self.limits["report_s"]) - MIN_CHANGE_INTERVAL_S
        return float(1 / (MIN_CHANGE_INTERVAL_S + (1 - math.exp(-changes * rest)) / changes))

    def reports(self, s: Size) -> float:
        """Return the heartbeats per second of all workers at the peak."""
        return s.workers * self.worker_reports(s)

    def idle_reports(self, s: Size) -> float:
        """Return the heartbeats per second of all workers without changes."""
        return float(s.workers / self.limits["report_s"])

    def jobs_s(self, s: Size) -> float:
        """Return the accepted jobs per second at the peak."""
        return float(s.starts_s / self.assumed["tasks_a_job"])

    def live_jobs(self, s: Size) -> float:
        """Return the number of live jobs at the peak."""
        return float(self.jobs_s(s) * self.assumed["job_s"])

    def worker_tasks(self, s: Size) -> float:
        """Return the running tasks per worker."""
        return s.running / s.workers

    def sockets(self, s: Size) -> float:
        """Return the number of worker connections that a controller may keep open."""
        quota = ProcessLimits(self.limits["core"], self.limits["memory_mb"], self.limits["sockets"])
        return float(plan_connections(quota, s.controllers - 1).workers)

    def spread_threshold(self, s: Size) -> float:
        """Return the number of machines from which `spread_reports` of the default policy is true."""
        names = {name: low for name, (low, _) in policy.VARIABLES.items()}
        names |= {"sockets": float(self.limits["sockets"]), "controllers": float(s.controllers)}
        shipped = policy.default()
        low, high = 0, 100_000
        while high - low > 1:
            mid = (low + high) // 2
            low, high = (low, mid) if shipped.value("spread_reports", names | {"machines": mid}) else (mid, high)
        return float(high)

    def leader_core(self, s: Size) -> float:
        """Return the processor share of a leader that receives all heartbeats, in cores."""
        return self.at("leader, processor", self.reports(s))

    def deciding_core(self, s: Size) -> float:
        """Return the processor share of a leader for work that no relay can take over, in cores.

        This is reconciling heartbeats, placing tasks, scheduling passes, targets, commands, and steps of the term.
        """
        return self.at("leader, decisions and steps", self.reports(s))

    def batched_report_core(self) -> float:
        """Return the processor time of a leader for each heartbeat of a batch, without decisions, in core seconds.

        The value comes from the largest measured rate of heartbeats that were spread over three controllers.
        """
        r = self.slopes["leader, reports spread over three"].sizes[-1:] or [0.0]
        spread = self.at("leader, reports spread over three", r[0])
        rest = self.at("leader, decisions and steps", r[0]) + self.at("leader, HTTP", r[0]) / 3
        return max(0.0, spread - rest) / (r[0] * 2 / 3)

    def spread_core(self, s: Size) -> float:
        """Return the processor share of a leader when the controllers receive equal shares of heartbeats, in cores."""
        mine, r = 1 / s.controllers, self.reports(s)
        return self.deciding_core(s) + mine * self.at("leader, HTTP", r) + (1 - mine) * r * self.batched_report_core()

    def decision_core(self, s: Size) -> float:
        """Return the processor share of a leader for decisions, from `tools/decisions.py` alone, in cores.

        This covers heartbeats with a change, scheduling passes that follow each other after their pauses, and updates
        of targets as often as new jobs cause them.
        """
        w = s.workers
        one_pass, targets = self.at("full pass", w), self.at("targets", w)
        passes = one_pass / max(MIN_PASS_INTERVAL_S, one_pass + min(PASS_REST_FACTOR * one_pass, MAX_REST_S))
        return (
            self.reports(s) * self.at("report with an end", w) / 1000
            + passes
            + targets / max(MIN_TARGETS_INTERVAL_S, (1 + TARGETS_REST_FACTOR) * targets)
        )

    def answer_commands(self, s: Size) -> float:
        """Return the commands per heartbeat response: a start and a forget for each task."""
        return 2 * s.starts_s / self.reports(s)

    def report_bytes(self, s: Size) -> float:
        """Return the size of a heartbeat's body, in bytes."""
        return self.at("report body", self.worker_tasks(s))

    def full_core_workers(self, core: Callable[[Size], float]) -> float | None:
        """Return the number of workers from which some work fills the leader's processor limit at the peak.

        Args:
            core: Returns the processor share of the work for a cluster size, in cores.

        Returns:
            Number of workers, or None if it is not between 100 and 100,000.
        """
        t = self.demand

        def full(workers: float) -> bool:
            of = workers / t["workers"]
            size = Size("", workers, of * t["starts_s"], of * t["running"], of * t["jobs_day"], t["teams"], 6)
            return bool(core(size) > self.limits["core"])

        low, high = 100.0, 100_000.0
        if not full(high) or full(low):
            return None
        while high - low > 1:
            mid = (low + high) / 2
            low, high = (low, mid) if full(mid) else (mid, high)
        return high


def report_probability(t: float, report_s: float) -> float:
    """Return the probability that a machine, observed at a random time, sends a heartbeat within a time.

    Args:
        t: The time, in seconds.
        report_s: Mean heartbeat interval in seconds; intervals vary by `JITTER`.
    """
    a, b = report_s * (1 - JITTER), report_s * (1 + JITTER)
    if t <= 0:
        return 0.0
    if t < a:
        return t / report_s
    return 1.0 - max(0.0, b - t) ** 2 / (2 * (b - a)) / report_s


def all_reported_probability(t: float, needed: int, machines: int, report_s: float) -> float:
    """Return the probability that at least `needed` of `machines` machines send a heartbeat within `t` seconds."""
    p = report_probability(t, report_s)
    return sum(math.comb(machines, i) * p**i * (1 - p) ** (machines - i) for i in range(needed, machines + 1))


def held_response_probability(t: float, hold_s: float, report_s: float) -> float:
    """Return the probability that a machine can be sent a command within a time if heartbeat responses are held.

    While the response to a heartbeat is held, a command can be sent at once; between a response and the next heartbeat,
    no command can be sent. The heartbeat interval begins when a heartbeat is sent, so that holding the response
    shortens the gap until the next heartbeat.

    Args:
        t: The time, in seconds.
        hold_s: Time for which a response is held while the machine has free capacity, in seconds.
        report_s: Mean heartbeat interval, in seconds.
    """
    a, b = report_s * (1 - JITTER), report_s * (1 + JITTER)
    steps = 2000
    within = whole = 0.0
    for i in range(steps):
        interval = a + (b - a) * (i + 0.5) / steps
        gap = max(0.0, interval - hold_s)
        whole += hold_s + gap
        within += hold_s + min(gap, t)
    return within / whole if t >= 0 else 0.0


def cleared_probability(t: float, report_s: float) -> float:
    """Return the probability that a machine reports the end of a directly stopped task within a time.

    The end of a task is a change, which is reported at once, but not earlier than `MIN_CHANGE_INTERVAL_S` after the
    previous heartbeat.

    Args:
        t: The time, in seconds.
        report_s: Mean heartbeat interval, in seconds.
    """
    return 1.0 if t >= MIN_CHANGE_INTERVAL_S else max(0.0, 1 - (MIN_CHANGE_INTERVAL_S - t) / report_s)


def quantile(chance: Callable[[float], float], q: float, most: float) -> float:
    """Return the quantile `q` of a distribution function, by bisection between 0 and `most`."""
    low, high = 0.0, most
    for _ in range(40):
        mid = (low + high) / 2
        low, high = (low, mid) if chance(mid) >= q else (mid, high)
    return high


Value = Callable[[CapacityModel, Size], float]


@dataclass
class Row:
    """One row of the page.

    Attributes:
        what: What the row states.
        unit: Unit of the values.
        value: Computes the value for a cluster size.
        by: Modules below src/grebestand/ that implement the mechanism, or a text that says what is missing.
        bound: Computes the bound that the value must not exceed, if any.
        direct: Whether the value is that of a slope, and so counts as measured within the measured sizes.
    """

    what: str
    unit: str
    value: Value
    by: tuple[str, ...] | str
    bound: Value | None = None
    direct: bool = False


def constant(name: str) -> Value:
    """Return a function with the same value for each cluster size."""
    return lambda m, s: m.at(name)


RELAYED = ("heartbeat_relay/forwarder.py", "heartbeat_relay/worker_assignment.py")

LEADER = [
    Row("reports a second, quiet", "1/s", lambda m, s: m.idle_reports(s), ("api/heartbeat_api.py",)),
    Row("reports a second, peak", "1/s", lambda m, s: m.reports(s), ("api/heartbeat_api.py",
        "heartbeats/reconciliation.py")),
    Row("connections of workers, all at the leader", "", lambda m, s: s.workers, ("flow_control/connection_limits.py",),
        lambda m, s: m.sockets(s)),
    Row("bytes read a second, peak", "KB/s",
        lambda m, s: m.reports(s) * (m.at("report head") + m.report_bytes(s)) / 1e3, ("wire/workers.py",)),
    Row("bytes answered a second, peak", "KB/s",
        lambda m, s: m.reports(s) * (m.at("answer head") + m.at("answer body", m.answer_commands(s))) / 1e3,
        ("heartbeats/commands.py",)),
    Row("processor, peak, all reports at the leader", "core", lambda m, s: m.leader_core(s),
        ("api/http_server.py", "leader/heartbeat_handler.py"), lambda m, s: m.limits["core"]),
    Row("processor, peak, all reports at the leader, by the scale run", "core",
        lambda m, s: m.at("leader, processor in the scale run", m.reports(s)),
        ("api/http_server.py", "leader/heartbeat_handler.py"), lambda m, s: m.limits["core"], direct=True),
    Row("what no relay can take: decisions and steps, by the bench", "core", lambda m, s: m.deciding_core(s),
        ("scheduling/placement.py", "leader/scheduling_loop.py"), lambda m, s: m.limits["core"]),
    Row("decisions, by the decision side alone", "core", lambda m, s: m.decision_core(s),
        ("scheduling/scheduler.py", "leader/scheduling_loop.py"), lambda m, s: m.limits["core"]),
    Row("a report over a connection of its own: HTTP, sockets, event loop", "ms",
        lambda m, s: 1e3 * m.at("leader, HTTP", m.reports(s)) / m.reports(s), ("api/http_server.py",)),
    Row("a report in a batch, in their place", "ms", lambda m, s: 1e3 * m.batched_report_core(),
        ("heartbeat_relay/batch_receiver.py",)),
    Row("processor, peak, reports spread evenly", "core", lambda m, s: m.spread_core(s),
        ("heartbeat_relay/batch_receiver.py", "heartbeat_relay/worker_assignment.py"), lambda m, s: m.limits["core"]),
    Row("processor, peak, reports spread evenly, by the scale run", "core",
        lambda m, s: m.at("leader, reports spread, scale run", m.reports(s)),
        ("heartbeat_relay/batch_receiver.py", "heartbeat_relay/worker_assignment.py"),
            lambda m, s: m.limits["core"], direct=True),
    Row("targets, once", "s", lambda m, s: m.at("targets", s.workers), ("scheduling/template_targets.py",),
        direct=True),
    Row("full pass, once, with as much waiting as runs", "s", lambda m, s: m.at("full pass", s.workers),
        ("scheduling/scheduler.py",), direct=True),
    Row("longest stretch without a yield", "s",
        lambda m, s: max(m.at("longest stretch of a pass", s.workers), m.at("longest stretch of targets", s.workers)),
        ("leader/scheduling_loop.py",), lambda m, s: MAX_UNINTERRUPTED_S, direct=True),
    Row("taking over: the books, once", "s", lambda m, s: m.at("taking over", s.workers), ("leader/term.py",),
        direct=True),
    Row("books: machines, jobs, 25 tasks for each worker", "MB", lambda m, s: m.at("books in all", s.workers),
        ("cluster_state/machine_inventory.py", "cluster_state/job_registry.py"), direct=True),
    Row("memory, as the bench counts it", "MB", lambda m, s: m.at("leader, memory", s.workers),
        ("cluster_state/machine_inventory.py", "api/http_server.py"), lambda m, s: m.limits["memory_mb"], direct=True),
    Row("memory, resident", "MB", lambda m, s: m.at("leader, resident", s.workers),
        ("cluster_state/machine_inventory.py", "api/http_server.py"), lambda m, s: m.limits["memory_mb"], direct=True),
]  # fmt: skip

RELAY = [
    Row("workers from which the shipped policy spreads reports", "", lambda m, s: m.spread_threshold(s),
        ("settings/default_policy.toml",)),
    Row("connections of workers: an even share and a twentieth", "",
        lambda m, s: SHARE_SLACK * s.workers / s.controllers, RELAYED, lambda m, s: m.sockets(s)),
    Row("connections of workers, one controller down", "",
        lambda m, s: min(s.workers, SHARE_SLACK * s.workers / (s.controllers - 1)), RELAYED,
        lambda m, s: m.sockets(s)),
    Row("reports a second, peak, even share", "1/s", lambda m, s: m.reports(s) / s.controllers, RELAYED),
    Row("batches a second to the leader", "1/s",
        lambda m, s: max(
            min(1 / BATCH_DELAY_S, m.reports(s) / s.controllers), m.reports(s) / s.controllers / MAX_BATCH_HEARTBEATS),
        RELAYED),
    Row("bytes a second to the leader", "KB/s", lambda m, s: m.reports(s) / s.controllers * m.report_bytes(s) / 1e3,
        RELAYED),
    Row("processor, peak", "core", lambda m, s: m.at("relay, processor", m.reports(s) / s.controllers),
        RELAYED, lambda m, s: m.limits["core"], direct=True),
    Row("processor, peak, by the scale run", "core",
        lambda m, s: m.at("relay, processor in the scale run", m.reports(s) / s.controllers), RELAYED,
        lambda m, s: m.limits["core"], direct=True),
    Row("memory, resident", "MB", lambda m, s: m.at("relay, resident", SHARE_SLACK * s.workers / s.controllers),
        RELAYED, lambda m, s: m.limits["memory_mb"], direct=True),
    Row("memory, as the bench counts it", "MB",
        lambda m, s: m.at("relay, memory", SHARE_SLACK * s.workers / s.controllers), RELAYED,
        lambda m, s: m.limits["memory_mb"], direct=True),
]  # fmt: skip

FOLLOWER = [
    Row("memory, resident", "MB", lambda m, s: m.at("follower, resident", s.workers), ("controller/controller.py",),
        lambda m, s: m.limits["memory_mb"], direct=True),
    Row("greetings a second, sent and answered", "1/s", lambda m, s: 2 * (s.controllers - 1) / PEER_STATUS_S,
        ("api/peer_api.py",)),
    Row("bytes of greetings a second, each way, peak", "KB/s",
        lambda m, s: 2 * (s.controllers - 1) / PEER_STATUS_S * m.at("greeting", m.live_jobs(s)) / 1e3,
        ("wire/peers.py",)),
    Row("bytes a second of the leader's word of images", "KB/s",
        lambda m, s: (s.controllers - 1) * m.at("word of images", s.workers) / CACHED_IMAGES_INTERVAL_S / 1e3,
            ("leader/status_broadcast.py",)),
    Row("requests of the state service a second: the key", "1/s", lambda m, s: 1.0, ("leader/election.py",)),
    Row("cancelled jobs and final states kept", "records", lambda m, s: float(MAX_COMPLETED_KEPT),
        ("storage/completed_jobs.py",)),
]  # fmt: skip

USERS = [
    Row("jobs accepted a second, day's mean", "1/s", lambda m, s: s.jobs_day / 86_400, ("api/job_api.py",)),
    Row("jobs accepted a second, peak", "1/s", lambda m, s: m.jobs_s(s), ("api/job_api.py",)),
    Row("live jobs, peak", "", lambda m, s: m.live_jobs(s), ("api/job_api.py",)),
    Row("polls a second, every 5 s each", "1/s", lambda m, s: m.live_jobs(s) / 5, ("api/read_batching.py",)),
    Row("writes a second of jobs at a follower, of its share", "1/s", lambda m, s: m.jobs_s(s) / s.controllers,
        ("flow_control/rate_limiter.py",), lambda m, s: 0.3 / max(1, s.controllers - 1) * m.limits["write_rps"]),
    Row("the same at the rate of the copy on the bench", "1/s",
        lambda m, s: m.assumed["bench_jobs_s"] * s.workers / m.demand["workers"] / s.controllers,
        ("flow_control/rate_limiter.py",), lambda m, s: 0.3 / max(1, s.controllers - 1) * m.limits["write_rps"]),
    Row("processor of polls", "core", lambda m, s: m.live_jobs(s) / 5 * m.at("poll of a user") / 1e3,
        ("api/job_api.py",)),
    Row("processor of submissions", "core", lambda m, s: m.jobs_s(s) * m.at("acceptance of a job") / 1e3,
        ("api/job_api.py",)),
]  # fmt: skip

STATE = [
    Row("records of machines", "KB", lambda m, s: s.workers * m.at("machine record") / 1e3,
        ("storage/paged_records.py",)),
    Row("keys that they stand on", "", lambda m, s: math.ceil(
        s.workers * m.at("machine record") / (1024 * m.limits["value_kb"] - 32)), ("storage/paged_records.py",)),
    Row("live records, peak", "KB", lambda m, s: m.live_jobs(s) * m.at("live record", 44) / 1e3,
        ("storage/job_records.py",)),
    Row("progress: bits of live jobs' tasks, peak", "KB",
        lambda m, s: m.live_jobs(s) * m.assumed["tasks_a_job"] / 8 * 4 / 3 / 1e3, ("leader/task_progress.py",)),
    Row("grants of live jobs, peak: half of them on 16 machines", "KB",
        lambda m, s: m.live_jobs(s) * (m.at("grant record", 16) + m.at("grant record", 0)) / 2 / 1e3,
        ("leader/durable_grants.py", "storage/leader_records.py")),
    Row("final states after a year", "MB", lambda m, s: 365 * s.jobs_day * m.at("over record", 44) / 1e6,
        "open: nothing removes them, and the protocol forbids it"),
    Row("writes a second, peak: accepting and closing", "1/s", lambda m, s: 3 * m.jobs_s(s),
        ("storage/job_records.py", "leader/job_completion.py"), lambda m, s: m.limits["write_rps"]),
    Row("the same at the rate of the copy on the bench", "1/s",
        lambda m, s: 3 * m.assumed["bench_jobs_s"] * s.workers / m.demand["workers"],
        ("storage/job_records.py", "leader/job_completion.py"), lambda m, s: m.limits["write_rps"]),
    Row("writes a second in all, peak", "1/s", lambda m, s: m.at("writes in all", s.starts_s),
        ("flow_control/rate_limiter.py", "storage/paged_records.py"), lambda m, s: m.limits["write_rps"], direct=True),
    Row("writes a second in all, many small jobs as on the bench", "1/s",
        lambda m, s: m.at("writes in all, small jobs", m.assumed["bench_jobs_s"] * s.workers / m.demand["workers"]),
        ("flow_control/rate_limiter.py", "storage/paged_records.py"), lambda m, s: m.limits["write_rps"]),
    Row("requests a second that do not grow: hold, watch, the key", "1/s",
        lambda m, s: 1 / LEASE_RENEW_INTERVAL_S + 1 / WATCH_S + s.controllers - 1,
        ("leader/election.py", "leader/job_watch.py"),
        lambda m, s: m.limits["state_rps"]),
    Row("requests a second in all, peak", "1/s", lambda m, s: m.at("requests of the state service", s.starts_s),
        ("clients/kv_store.py",), lambda m, s: m.limits["state_rps"], direct=True),
    Row("requests a second in all, many small jobs as on the bench", "1/s",
        lambda m, s: m.at("requests of the state service, small jobs",
                          m.assumed["bench_jobs_s"] * s.workers / m.demand["workers"]),
        ("clients/kv_store.py",), lambda m, s: m.limits["state_rps"]),
    Row("processor of the stand-in", "core",
        lambda m, s: m.at("state service, processor", m.at("requests of the state service", s.starts_s)),
        ("emulators/kv_store.py",)),
    Row("memory of the stand-in", "MB", lambda m, s: m.at("state service, resident", s.workers),
        ("emulators/kv_store.py",),
        direct=True),
]  # fmt: skip

CLOUD = [
    Row("machines restarted or replaced a day", "", lambda m, s: m.demand["restarts_day"] * s.workers
        / m.demand["workers"], ("leader/provisioning.py", "leader/deprovisioning.py")),
    Row("requests a second for them, day's mean: one to rent, one to delete", "1/s",
        lambda m, s: 2 * m.demand["restarts_day"] * s.workers / m.demand["workers"] / 86_400, ("clients/cloud.py",),
        lambda m, s: 0.8 * m.limits["cloud_rps"]),
    Row("requests to list all machines", "", lambda m, s: math.ceil(s.workers / 500), ("clients/cloud.py",)),
    Row("seconds of its budget to list all", "s",
        lambda m, s: math.ceil(s.workers / 500) / (0.8 * m.limits["cloud_rps"]), ("flow_control/rate_limiter.py",)),
    Row("processor", "core", lambda m, s: m.at("cloud client, processor"), ("clients/cloud.py",)),
]  # fmt: skip

WORKER = [
    Row("reports a second, quiet", "1/s", lambda m, s: m.idle_reports(s) / s.workers, ("wire/workers.py",)),
    Row("reports a second, peak", "1/s", lambda m, s: m.worker_reports(s), ("wire/workers.py",)),
    Row("bytes a second, both ways, peak, with the shortest heads", "KB/s",
        lambda m, s: m.worker_reports(s) * (m.at("report head") + m.report_bytes(s) + m.at("answer head")
                                              + m.at("answer body", m.answer_commands(s))) / 1e3,
        ("wire/workers.py",), lambda m, s: m.demand["worker_kb_s"]),
    Row("bytes a second, both ways, peak, of a worker process", "KB/s",
        lambda m, s: m.worker_reports(s) * m.at("worker, traffic of a message", s.workers),
        ("emulators/worker.py",), lambda m, s: m.demand["worker_kb_s"]),
    Row("processor of a worker process", "core", lambda m, s: m.at("worker, processor", s.workers),
        ("emulators/worker.py",), lambda m, s: m.demand["worker_core"], direct=True),
    Row("memory of a worker process", "MB", lambda m, s: m.at("worker, resident", s.workers),
        ("emulators/worker.py",), lambda m, s: m.demand["worker_mb"], direct=True),
]  # fmt: skip

LINK = [
    Row("looks a second of one cluster at three", "1/s", lambda m, s: m.at("looks between clusters", 3),
        ("federation/tls_link.py", "federation/routing.py"), direct=True),
    Row("messages of a gang at three clusters", "", lambda m, s: m.at("messages of a gang", 3),
        ("federation/home.py", "federation/guest.py"), direct=True),
    Row("gangs a second that may ask", "1/s", lambda m, s: m.assumed["gangs"] * m.jobs_s(s), ("federation/home.py",)),
    Row("bytes a second, looks and all gangs asking", "KB/s",
        lambda m, s: (m.at("looks between clusters", 3) + m.assumed["gangs"] * m.jobs_s(s)
                      * m.at("messages of a gang", 3)) * m.at("message between clusters") / 1e3,
        ("federation/messages.py",)),
    Row("quota shares: records, a region's own", "", lambda m, s: s.teams, "open: quotas across regions"),
    Row("quota shares: records, all regions", "", lambda m, s: s.teams * m.demand["regions"],
        "open: quotas across regions"),
    Row("quota shares: bytes, a region's own, at least", "KB", lambda m, s: s.teams * m.at("team record", 710) / 1e3,
        "open: quotas across regions"),
    Row("quota shares: writes a second, a day's 1,500 moves within an hour", "1/s",
        lambda m, s: MOVE_WRITES * m.demand["changes_day"] / 3600, "open: quotas across regions",
        lambda m, s: m.limits["write_rps"]),
    Row("quota shares: messages a second then", "1/s",
        lambda m, s: MOVE_MESSAGES * m.demand["changes_day"] / 3600, "open: quotas across regions"),
]  # fmt: skip

CONFIGURATION = [
    Row("records: one for each team", "", lambda m, s: s.teams, "open: versioned configuration"),
    Row("bytes of them", "KB", lambda m, s: s.teams * m.at("team record", 710) / 1e3, "open: versioned configuration"),
    Row("bytes of the whole settings as read today", "KB", lambda m, s: m.at("settings", s.teams) / 1e3,
        ("settings/platform.py",), direct=True),
    Row("keys if they share pages", "", lambda m, s: math.ceil(
        s.teams * m.at("team record", 710) / (1024 * m.limits["value_kb"] - 32)), "open: versioned configuration"),
    Row("changes a second, a day's all within an hour", "1/s", lambda m, s: m.demand["changes_day"] / 3600,
        "open: versioned configuration"),
    Row("writes a second for them: the page and the version", "1/s", lambda m, s: 2 * m.demand["changes_day"] / 3600,
        "open: versioned configuration", lambda m, s: m.limits["write_rps"]),
    Row("bytes a second to each controller's watch", "KB/s",
        lambda m, s: m.demand["changes_day"] / 3600 * m.limits["value_kb"] * 1.024, "open: versioned configuration"),
    Row("reading and checking all of it, processor", "s", lambda m, s: m.at("check of settings", s.teams),
        ("settings/platform.py", "settings/policy.py"), direct=True),
]  # fmt: skip

ROLES: dict[str, list[Row]] = {
    "leader": LEADER,
    "relay": RELAY,
    "follower": FOLLOWER,
    "users": USERS,
    "state": STATE,
    "cloud": CLOUD,
    "worker": WORKER,
    "link": LINK,
    "configuration": CONFIGURATION,
}


@dataclass
class RowResult:
    """The values of a row for all cluster sizes.

    Attributes:
        row: The row.
        values: Value for each size; None if it depends on a slope without a measurement.
        bounds: Bound for each size; None without a bound.
        state: `MEASURED`, `MEASURED_IN_PART`, `WORKED_OUT` or `OPEN`.
        used: Slopes on which the row depends, and whether beyond their measured sizes.
        beyond: For each size, whether a slope was extrapolated.
        missing: Name of a slope without a measurement, or empty.
    """

    row: Row
    values: list[float | None]
    bounds: list[float | None]
    state: str
    used: dict[str, bool]
    beyond: list[bool]
    missing: str = ""

    @property
    def over(self) -> list[bool]:
        """For each size, whether the value exceeds the bound."""
        return [
            v is not None and b is not None and v > b for v, b in zip(self.values, self.bounds, strict=True)
        ]  # fmt: skip


def work_out(row: Row, m: CapacityModel) -> RowResult:
    """Compute a row for all cluster sizes."""
    values: list[float | None] = []
    bounds: list[float | None] = []
    beyond: list[bool] = []
    used: dict[str, bool] = {}
    missing = ""
    for s in m.sizes():
        m.used = {}
        try:
            values.append(float(row.value(m, s)))
        except OpenSlopeError as e:
            values.append(None)
            missing = str(e)
        beyond.append(any(m.used.values()))
        for name, far in m.used.items():
            used[name] = used.get(name, False) or far
        bounds.append(float(row.bound(m, s)) if row.bound is not None else None)
    if missing:
        state = OPEN
    elif row.direct and not any(beyond):
        state = MEASURED
    elif row.direct and not all(beyond):
        state = MEASURED_IN_PART
    else:
        state = WORKED_OUT
    return RowResult(row, values, bounds, state, used, beyond, missing)


def format_number(value: float) -> str:
    """Format a number with at most three significant digits, since measurements are no more precise."""
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{round(value, digits):,.{min(digits, 4)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_modules(by: tuple[str, ...] | str) -> str:
    """Return the modules of a row as Markdown."""
    return by if isinstance(by, str) else ", ".join(f"`{p}`" for p in by)


def missing_modules(by: tuple[str, ...] | str) -> list[str]:
    """Return the modules that a row names but that do not exist."""
    if isinstance(by, str):
        return [] if by.startswith("open: ") else [by]
    return [p for p in by if not (SOURCES / p).is_file()]


def markdown_table(head: list[str], rows: list[list[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield "| " + " | ".join(head) + " |"
    yield "| " + " | ".join(["---"] * len(head)) + " |"
    for r in rows:
        yield "| " + " | ".join(r) + " |"


def role_table(name: str, m: CapacityModel) -> Iterator[str]:
    """Yield the table of one role."""
    rows = []
    for row in ROLES[name]:
        w = work_out(row, m)
        cells = []
        for value, over, far in zip(w.values, w.over, w.beyond, strict=True):
            text = OPEN if value is None else format_number(value) + ("*" if far else "")
            cells.append(f"**{text}**" if over else text)
        describe_medians = {b: None for b in w.bounds if b is not None}
        bound = "-" if not describe_medians else " / ".join(format_number(b) for b in describe_medians)
        state = f"open: {w.missing}" if w.state == OPEN else w.state
        rows.append([row.what, row.unit or "-", *cells, bound, format_modules(row.by), state])
    names = [s.name for s in m.sizes()]
    yield from markdown_table(["what", "unit", *names, "bound", "carried by", "state"], rows)


def sizes_table(m: CapacityModel) -> Iterator[str]:
    """Yield the table of cluster sizes."""
    rows = []
    named = m.sizes()
    lines: list[tuple[str, Callable[[Size], float]]] = [
        ("workers", lambda s: s.workers),
        ("controllers", lambda s: float(s.controllers)),
        ("task starts a second, peak", lambda s: s.starts_s),
        ("tasks running", lambda s: s.running),
        ("jobs a day", lambda s: s.jobs_day),
        ("jobs a second at the peak", m.jobs_s),
        ("teams with quotas", lambda s: s.teams),
        ("reports a second, quiet", m.idle_reports),
        ("reports a second, peak", m.reports),
    ]
    for what, of in lines:
        rows.append([what, *(format_number(of(s)) for s in named)])
    yield from markdown_table(["", *(s.name for s in named)], rows)


def delay_table(rows: list[tuple[str, float, float, str]], bound: float) -> Iterator[str]:
    """Yield the table of the parts of a delay and their sum, for the usual and the worst case.

    Args:
        rows: Name, usual and worst time in seconds, and origin of each part.
        bound: Bound of the sum, in seconds.
    """
    describe_medians = [[what, f"{usual:.2f}", f"{worst:.2f}", by] for what, usual, worst, by in rows]
    usual, worst = sum(r[1] for r in rows), sum(r[2] for r in rows)
    mark = "**{:.2f}**" if worst > bound else "{:.2f}"
    describe_medians.append(["sum", f"{usual:.2f}", mark.format(worst), f"bound {bound:.2f}"])
    yield from markdown_table(["part", "usual, s", "worst, s", "from"], describe_medians)


def configuration_delays(m: CapacityModel) -> list[tuple[str, float, float, str]]:
    """Return the parts of the delay from an operator's change of the configuration until all controllers report it."""
    lim = m.limits
    usual, slow = lim["state_usual_s"], lim["state_slow_s"]
    check = m.at("check of settings", m.demand["teams"]) / lim["core"]
    return [
        ("commit in the first region", usual, slow, "the protocol's usual and occasional answer"),
        ("over the link to the others", m.assumed["link_s"], m.assumed["link_slow_s"], "assumed; not measured"),
        ("commit there", usual, slow, "as above"),
        ("watch: its answer, or the next question", usual, WATCH_S + slow,
         "`leader/cancellation_horizon.py` asks again each second"),
        ("check, with the share of a core", check, check + MAX_UNINTERRUPTED_S,
         "slope: check of settings; one stretch between"),
        ("greeting that tells the version", CANCELLATION_BROADCAST_DELAY_S, PEER_STATUS_S + lim["messages_s"],
         "`controller/controller.py`: at once, or with the next"),
    ]  # fmt: skip


def urgent_delays(
    m: CapacityModel, wait: tuple[float, float], by: str, stops: tuple[float, float] | None = None
) -> list[tuple[str, float, float, str]]:
    """Return the parts of the delay from the acceptance of an urgent job to its last task start.

    Args:
        m: The model.
        wait: Usual and worst time until the heartbeats that start the tasks, in seconds.
        by: Origin of that time.
        stops: Usual and worst time to stop other tasks first, in seconds, after which a second scheduling pass places
            the job; None if there is free capacity.
    """
    lim = m.limits
    one_pass = (
        "next pass",
        MIN_PASS_INTERVAL_S / 2,
        MIN_PASS_INTERVAL_S,
        f"`leader/scheduling_loop.py`; up to {MAX_REST_S:g} s where much waits",
    )
    found = [
        ("acceptance to the leader's books: the watch", lim["state_usual_s"], lim["state_slow_s"],
         "`leader/job_watch.py`"),
        one_pass,
    ]  # fmt: skip
    if stops is not None:
        found += [("direct stops, and reports of the ends", *stops, "`leader/machine_reconciliation.py`"), one_pass]
    return [
        *found,
        (
            "durable grant",
            GRANT_CHECK_S / 2 + lim["state_usual_s"],
            GRANT_CHECK_S + lim["state_slow_s"],
            "`leader/durable_grants.py`",
        ),
        ("report of the last machine that is needed", *wait, by),
        ("the answer's way", lim["messages_s"], 2 * lim["messages_s"], "`api/http_server.py`"),
    ]


def report_wait_s(m: CapacityModel, chance: Callable[[float], float]) -> tuple[float, float]:
    """Return the times within which the event of `chance` occurs in 50% and in 99% of cases, in seconds."""
    most = m.limits["report_s"] * (1 + JITTER)
    return quantile(chance, 0.5, most), quantile(chance, 0.99, most)


def urgent_cases(m: CapacityModel) -> list[tuple[str, list[tuple[str, float, float, str]]]]:
    """Return a title and the parts of the delay for each case of urgent work."""
    room, gang, t = int(m.assumed["start_room"]), int(m.demand["gang"]), m.limits["report_s"]
    orders = math.ceil(gang / MAX_QUERIES) * 2 * m.limits["messages_s"]
    stops = report_wait_s(m, lambda x: cleared_probability(x - orders, t) ** gang)
    every = report_wait_s(m, lambda x: all_reported_probability(x, gang, gang, t))
    return [
        (f"One task, {room} machines with room, as it is built",
         urgent_delays(m, report_wait_s(m, lambda x: all_reported_probability(x, 1, room, t)), "`wire/workers.py`")),
        (f"A gang of {gang} on idle machines, as it is built", urgent_delays(m, every, "`wire/workers.py`")),
        (f"A gang of {gang} on machines that are cleared for it, nothing saved, as it is built",
         urgent_delays(m, every, "`wire/workers.py`", stops)),
        (f"A gang of {gang} on idle machines whose answers are held (not built)",
         urgent_delays(m, report_wait_s(m, lambda x: held_response_probability(x, HOLD_RESPONSE_S, t) ** gang),
                       "open: held answers")),
        (f"A gang of {gang} on machines that are cleared for it, their answers held meanwhile (not built)",
         urgent_delays(m, (0.0, 0.0), "open: held answers", stops)),
    ]  # fmt: skip


def urgent_tables(m: CapacityModel) -> Iterator[str]:
    """Yield the tables of urgent work."""
    t, bound, gang = m.limits["report_s"], m.demand["urgent_s"], int(m.demand["gang"])
    cases = urgent_cases(m)
    for title, found in cases:
        yield f"{title}; worst: every part at its worst, reports in 99 of 100 cases."
        yield ""
        yield from delay_table(found, bound)
        yield ""
    left = bound - sum(p[1] for p in cases[0][1] if "report of" not in p[0])
    yield (
        f"Of {bound} s, {left:.2f} s are left for the reports where the other parts take what is usual. "
        f"For machines that report every {t:g} s, share of cases in time:"
    )
    yield ""
    rows = []
    for k in (2**i for i in range(gang.bit_length())):
        usual, most = report_wait_s(m, lambda x, k=k: all_reported_probability(x, k, k, t))  # type: ignore[misc]
        chances = [all_reported_probability(left, k, k * n, t) for n in (1, 2, 4, 8)]
        chances += [
            held_response_probability(left, 2.2, t) ** k,
            held_response_probability(left, HOLD_RESPONSE_S, t) ** k,
            cleared_probability(left - MIN_PASS_INTERVAL_S / 2, t) ** k,
        ]
        rows.append([str(k), f"{usual:.2f}", f"{most:.2f}", *(f"{c:.3f}" for c in chances)])
    yield from markdown_table(
        ["tasks, one a machine", "wait for all: half, s", "99%, s", "all of k machines", "k of 2k", "k of 4k",
         "k of 8k", "answers held 2.2 s", f"held {HOLD_RESPONSE_S:g} s", "cleared, and held meanwhile"],
        rows,
    )  # fmt: skip
    yield ""
    need = next(n for n in range(1, 1000) if all_reported_probability(left, 1, n, t) >= 0.99)
    yield f"One task starts in time in 99 of 100 cases from {need} machines with room on."
    yield ""
    rows = []
    for name in ("one task", "65 to 128 tasks"):
        for what in ("urgent start", "urgent start with relays"):
            half, slowest = f"{what}, {name}, half", f"{what}, {name}, slowest"
            rows.append([name, describe_medians(m, half), describe_medians(m, slowest), m.slopes[half].run])
    yield from markdown_table(
        ["measured beside it, urgent jobs of", "half within, s at workers", "slowest", "run"], rows
    )
    yield ""
    tried = ("report after a direct stop", "report after a direct forget", "next report, answer held 2.9 s")
    yield "Tried on the bench, in seconds: " + "; ".join(
        f"{name}: " + ", ".join(f"{v:.2f} in {x:.0%}" for x, v in zip(s.sizes, s.medians, strict=True))
        for name, s in ((n, m.slopes[n]) for n in tried)
    ) + "."  # fmt: skip


def describe_medians(m: CapacityModel, name: str) -> str:
    """Return the medians of a slope as text."""
    s = m.slopes[name]
    if s.state == OPEN:
        return "open"
    return ", ".join(f"{format_number(v)} at {format_number(x)}" for x, v in zip(s.sizes, s.medians, strict=True))


def blocks_table(m: CapacityModel) -> Iterator[str]:
    """Yield the table of the cluster sizes from which leasing blocks of machines pays off."""
    rows = []
    cases: list[tuple[str, Callable[[Size], float]]] = [
        ("the leader's whole work, all reports at it", m.leader_core),
        ("the leader's whole work, reports spread over six", m.spread_core),
        ("decisions, by the bench's account", m.deciding_core),
        ("decisions, by the decision side alone", m.decision_core),
    ]
    found: dict[str, float] = {}
    for what, core in cases:
        try:
            full = m.full_core_workers(core)
        except OpenSlopeError as e:
            rows.append([what, f"open: {e}"])
            continue
        if full is not None:
            found[what] = full
        rows.append([what, "-" if full is None else format_number(round(full, -2))])
    stretch = next(
        (w for w in range(500, 20_001, 100) if m.at("longest stretch of a pass", w) > MAX_UNINTERRUPTED_S), None
    )
    rows.append(
        [
            f"a stretch of a pass of {MAX_UNINTERRUPTED_S} s",
            "over 20,000" if stretch is None else format_number(stretch),
        ]
    )
    wait = next((w for w in range(500, 20_001, 100) if m.at("full pass", w) > 1.0), None)
    rows.append(
        ["a full pass of 1 s, each followed by 2 s of rest", "over 20,000" if wait is None else format_number(wait)]
    )
    yield from markdown_table(
        [f"what fills {m.limits['core']} of a core, or its bound, at the peak", "from workers"], rows
    )
    yield ""
    least = min((full for what, full in found.items() if what.startswith("decisions")), default=math.inf)
    region, more, whole, _ = (s.workers for s in m.sizes())
    yield (
        f"So blocks pay from about {format_number(round(least, -2))} workers in a cluster on: "
        f"{least / region:.1f} times the largest region, {least / more:.1f} times that at half as much again, "
        f"{least / whole:.1f} times all regions in one."
    )


def failures_table(m: CapacityModel) -> Iterator[str]:
    """Yield the table of failures and their costs."""
    t, lim = m.demand, m.limits
    tasks = t["running"] / t["workers"]
    lapse = lim["lease_s"] * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_S
    zone = t["workers"] / t["zones"]
    region = m.sizes()[0].workers
    budget = 0.8 * lim["cloud_rps"]
    rack = m.split["rack"]
    hold = min(15, 0.6 * lim["lease_s"])
    page = 1024 * lim["value_kb"] - 32

    def writes(machines: float) -> int:
        return math.ceil(float(machines * m.at("machine record") / page))

    def rents(machines: float) -> int:
        return math.ceil(machines / MAX_MACHINES_PER_REQUEST) + math.ceil(machines / 100)

    rows = [
        [f"{t['restarts_day']} restarts or replacements a day, unannounced",
         format_number(t["restarts_day"] * tasks) + " a day",
         "the next session's report, or " + f"{lapse:.1f} s of silence",
         f"{format_number(2 * t['restarts_day'])} requests of the cloud, as many writes, a direct question each, a day",
         "`cluster_state/machine_inventory.py`, `leader/machine_reconciliation.py`, `leader/provisioning.py`",
             WORKED_OUT],
        [f"{t['fail_day']} failures a day", format_number(t["fail_day"] * tasks) + " a day", f"{lapse:.1f}",
         f"{format_number(2 * t['fail_day'])} requests of the cloud a day", "`cluster_state/machine_inventory.py`",
         WORKED_OUT],
        [f"a rack or switch, {rack} machines", format_number(rack * tasks), f"{lapse:.1f}, then room",
         f"{writes(rack)} writes, {rents(rack)} requests of the cloud, {math.ceil(rack / MAX_QUERIES)} round of direct "
         "questions", "`leader/machine_reconciliation.py`, `storage/paged_records.py`", WORKED_OUT],
        [f"a zone, {format_number(zone)} machines", format_number(zone * tasks),
         f"{lapse:.1f}, then {rents(zone) / budget:.1f} to ask the cloud, then boots",
         f"{writes(zone)} writes, {rents(zone)} requests of the cloud, "
         f"{math.ceil(zone / MAX_QUERIES)} rounds of direct questions", "`leader/provisioning.py`", WORKED_OUT],
        ["the same, the leader in it", "the same, and those of answers under way: "
         + describe_medians(m, "starts lost with the leader"), f"{hold:.1f} until the hold ends, then taking over",
         f"{math.ceil(region / MAX_QUERIES)} rounds of direct questions to show the token", "`leader/election.py`",
         OPEN],
        ["an answering controller", "of answers under way: " + describe_medians(m, "starts lost with the leader"),
         "up to 4, its workers' wait, then 1", f"{format_number(region / m.split['controllers'])} connections anew",
         "`heartbeat_relay/forwarder.py`", OPEN],
        ["a region apart for an hour", "0", "0: it has its own leader, state service and quota shares",
         f"a try of the link at most each {LONGEST_PAUSE_S:g} s; gangs abroad wait for their news",
         "`federation/circuit_breaker.py`; open: quotas across regions", WORKED_OUT],
        ["state service of a region out",
         f"0 for {hold + lim['lease_s']:.0f} s; then all that runs: {format_number(m.sizes()[0].running)}",
         f"{hold:.1f} until nothing is answered, a lease more until it ends, then until it is back", "none",
         "`leader/election.py`, `leader/cancellation_horizon.py`", WORKED_OUT],
    ]  # fmt: skip
    yield from markdown_table(
        ["failure", "starts again", "seconds until they may", "messages", "carried by", "state"], rows
    )


def exceeded_table(m: CapacityModel) -> Iterator[str]:
    """Yield the table of rows that exceed their bounds, and the number of rows in each state."""
    rows = []
    counts = dict.fromkeys((MEASURED, MEASURED_IN_PART, WORKED_OUT, OPEN), 0)
    for name, found in ROLES.items():
        for row in found:
            w = work_out(row, m)
            counts[w.state] += 1
            if any(w.over):
                where = [
                    f"{s.name} ({format_number(s.workers)})" for s, over in zip(m.sizes(), w.over, strict=True) if over
                ]  # fmt: skip
                rows.append([name, row.what, ", ".join(where)])
    worst = sum(p[2] for p in configuration_delays(m))
    if worst > m.demand["in_force_s"]:
        rows.append(["configuration", "in force everywhere", f"{worst:.2f} s at worst"])
    for title, case in urgent_cases(m):
        usual, worst = sum(p[1] for p in case), sum(p[2] for p in case)
        if worst > m.demand["urgent_s"]:
            rows.append(["urgent work", title, f"{usual:.2f} s usual, {worst:.2f} s at worst"])
    yield from markdown_table(["role", "what does not fit", "where"], rows)
    yield ""
    yield (
        f"Of the rows of all roles {counts[MEASURED]} are measured, {counts[MEASURED_IN_PART]} measured at some of the "
        f"sizes, {counts[WORKED_OUT]} worked out and "
        f"{counts[OPEN]} open."
    )


def comparison_table(m: CapacityModel) -> Iterator[str]:
    """Yield the table that compares computed values with measured ones."""
    issue = Size("", 1300, 122, 0, 0, 0, 3)
    workers = m.slopes["reports at the peak"].sizes[4]
    peak = Size("", workers, m.at("starts at the peak", workers), 0, 0, 0, 3)
    scale = m.slopes["leader, processor in the scale run"].sizes[-2]
    pairs: list[tuple[str, Callable[[], float], Callable[[], float]]] = [
        ("reports a second, 1,300 workers with 122 starts a second", lambda: m.reports(issue),
         lambda: m.at("issue: reports")),
        (f"reports a second, {format_number(workers)} workers with {format_number(peak.starts_s)} starts a second",
         lambda: m.reports(peak), lambda: m.at("reports at the peak", workers)),
        ("reports a second, 2,600 workers with "
         f"{format_number(m.at('starts in the scale run, with relays', 2600))} starts a second, "
         "intervals of 3.5 s, the scale run",
         lambda: 2600 * m.worker_reports(
             Size("", 2600, m.at("starts in the scale run, with relays", 2600), 0, 0, 0, 3), 3.5),
         lambda: m.at("reports in the scale run, with relays", 2600)),
        ("leader's part of its share with 460 reports a second, issue 40",
         lambda: m.at("leader, processor", m.at("issue: reports")) / m.limits["core"],
         lambda: m.at("issue: leader, processor", 1300)),
        (f"leader's core with {format_number(scale)} reports a second, the scale run",
         lambda: m.at("leader, processor", scale),
         lambda: m.at("leader, processor in the scale run", scale)),
        ("reports a second that fill a leader's share, spread over three",
         lambda: quantile(lambda x: m.at("leader, reports spread over three", x), m.limits["core"], 10_000),
         lambda: m.at("reports where the leader is at its whole share", 2614)),
        ("leader's core with 1,265 reports a second spread over three, the scale run",
         lambda: m.at("leader, reports spread over three", 1265),
         lambda: m.at("leader, reports spread, scale run", 1265)),
        (f"leader's core for decisions, {format_number(workers)} workers, the decision side alone",
         lambda: m.decision_core(peak),
         lambda: m.at("leader, decisions and steps", m.at("reports at the peak", workers))),
    ]  # fmt: skip
    rows = []
    for what, worked, measured in pairs:
        a, b = worked(), measured()
        rows.append([what, format_number(a), format_number(b), f"{a / b - 1:+.0%}"])
    yield from markdown_table(["what", "worked out", "measured", "off by"], rows)


def slopes_table(m: CapacityModel) -> Iterator[str]:
    """Yield the table of all slopes."""
    rows = []
    for s in m.slopes.values():
        if s.state == OPEN:
            rows.append([s.name, s.unit, s.per, "-", "-", "-", "open", s.run])
            continue
        points = "; ".join(f"{x:g}: {format_number(y)}" for x, y in zip(s.sizes, s.medians, strict=True))
        told_spread = f"{s.spread:.0%}" if any(len(v) > 1 for v in s.values) else "one run"
        rows.append([s.name, s.unit, s.per, points, told_spread, s.describe_shape(), s.state, s.run])
    yield from markdown_table(["slope", "unit", "by", "medians", "spread", "shape", "state", "run"], rows)


def all_tables(m: CapacityModel) -> dict[str, str]:
    """Return all tables of the page, by name."""
    made: dict[str, Callable[[], Iterator[str]]] = {"sizes": lambda: sizes_table(m)}
    for name in ROLES:
        made[name] = lambda name=name: role_table(name, m)  # type: ignore[misc]
    made["in force"] = lambda: delay_table(configuration_delays(m), m.demand["in_force_s"])
    made["urgent"] = lambda: urgent_tables(m)
    made["blocks"] = lambda: blocks_table(m)
    made["failures"] = lambda: failures_table(m)
    made["against"] = lambda: comparison_table(m)
    made["misfits"] = lambda: exceeded_table(m)
    made["slopes"] = lambda: slopes_table(m)
    return {name: "\n".join(make()) for name, make in made.items()}


TABLE_PATTERN = re.compile(r"<!-- capacity: (?P<name>[a-z ]+) -->\n(?P<body>(?:(?!<!--).)*?)\n?<!-- end -->", re.S)


def mark_table(name: str, body: str) -> str:
    """Return a table between its markers."""
    return f"<!-- capacity: {name} -->\n{body}\n<!-- end -->"


def differences(page: str, m: CapacityModel) -> list[str]:
    """Return the differences between a page and the computed tables, and the modules of rows that do not exist."""
    made, found = all_tables(m), {x["name"]: x["body"] for x in TABLE_PATTERN.finditer(page)}
    wrong = [f"{name}: not on the page" for name in made.keys() - found.keys()]
    wrong += [f"{name}: nothing of that name is worked out" for name in found.keys() - made.keys()]
    for name in sorted(made.keys() & found.keys()):
        old, new = found[name].splitlines(), made[name].splitlines()
        first = next((f"{a!r} for {b!r}" for a, b in zip(old, new, strict=False) if a != b), f"{len(old)} lines")
        if old != new:
            wrong.append(f"{name}: differs: {first}")
    for name, rows in ROLES.items():
        wrong += [f"{name}: {row.what}: there is no {p}" for row in rows for p in missing_modules(row.by)]
    return sorted(wrong)


@cache
def _read_text(path: Path) -> str:
    return path.read_text("utf-8")


def main() -> int:
    """Print, write or check the tables of the page, and return the exit status."""
    parser = argparse.ArgumentParser(description="Works out the figures of docs/CAPACITY.md.")
    what = parser.add_mutually_exclusive_group(required=True)
    what.add_argument("--page", action="store_true", help="print the page's tables, between their markers")
    what.add_argument("--write", action="store_true", help="write them into the page")
    what.add_argument("--check", action="store_true", help="say where the page differs; exit status 1")
    parser.add_argument("--slopes", type=Path, default=SLOPES, metavar="FILE")
    options = parser.parse_args()
    try:
        m = CapacityModel(_read_text(options.slopes))
    except (SlopeError, tomllib.TOMLDecodeError) as e:
        print(f"capacity: {options.slopes}: {e}", file=sys.stderr)
        return 1
    if options.page:
        print("\n\n".join(mark_table(name, body) for name, body in all_tables(m).items()))
        return 0
    page = _read_text(PAGE)
    if options.write:
        made = all_tables(m)
        PAGE.write_text(
            TABLE_PATTERN.sub(lambda x: mark_table(x["name"], made.get(x["name"], x["body"])), page), "utf-8"
        )
        return 0
    wrong = differences(page, m)
    print("\n".join(wrong) or "the page holds")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
