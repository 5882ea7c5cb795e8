"""Digests of what several simulated clusters did, to tell whether a change of the code changed any decision.

    python3 tools/history_digest.py [--only NAME] > digests.txt

Plays seeded schedules of troubles over real controllers on simulated time (`simulation.cluster`) and prints for each a
sha256 digest of what could be seen from outside: each answer to a user, each set of orders that a worker executed, each
request that changed the state service, in order, with simulated time in milliseconds. Only messages as they are sent
are taken in, no name of the code. `tests/fixtures/history_digests.txt` is the output before packages, modules, classes
and fields were renamed: a change that is meant to move or rename only has to print the same. A change that decides
otherwise on purpose prints other digests, which is why no test compares them. Needs what the tests need.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(_ROOT, part) for part in ("src", "tests", os.path.join("target", "deps"))]

import gevent  # noqa: E402
import msgspec  # noqa: E402

from grebestand.emulators.kv_store import KeyValueStoreEmulator  # noqa: E402
from grebestand.simulation.client_history import ClientHistory, ClientObservation  # noqa: E402
from grebestand.simulation.cluster import STATE, LinkMode, SimulatedCluster  # noqa: E402
from grebestand.simulation.simulated_worker import SimulatedWorker  # noqa: E402
from grebestand.simulation.virtual_time import simulated_time  # noqa: E402
from grebestand.wire.workers import HeartbeatResponse  # noqa: E402
from scenarios.test_random_fault_schedules import CONTROLLERS, run_schedule  # noqa: E402
from support.cluster_actions import SPREAD_HEARTBEATS_POLICY  # noqa: E402

Schedule = list[tuple[float, tuple[object, ...]]]

#: where jobs of the first play may run
PLACES: list[dict[str, Any]] = [{"quay": "a"}, {"samePlace": True}, {"scatter": True}, {}]

CRASHES: Schedule = [
    (6.0, ("crash", "node-0", 5.0)),
    (9.0, ("blink", {"node-1", "node-2"}, 0.3)),
    (7.0, ("restart", 3, True)),
    (8.0, ("hang", 5, 25.0)),
    (5.0, ("blink", set(CONTROLLERS), 0.4)),
    (9.0, ("cancels", 4, 8.0)),
    (6.0, ("taken", 2)),
]
CUTS: Schedule = [
    (5.0, ("gap", 3.0, 15.0, LinkMode.REFUSED)),
    (30.0, ("alone", "node-1", LinkMode.HELD)),
    (12.0, ("heal",)),
    (6.0, ("cut", "node-0", STATE, LinkMode.SLOW)),
    (7.0, ("cut", "node-2", "a", LinkMode.RESPONSES_LOST)),
    (10.0, ("zone", "node-0", "b", 20.0)),
]
LATE: Schedule = [
    (4.0, ("copies", 0.2, 30.0)),
    (6.0, ("late writes", 0.3, 20.0)),
    (6.0, ("late orders", 0.5, 30.0)),
    (8.0, ("lost answers", 0.3, 20.0)),
    (5.0, ("deaf", 2, 6, {"node-0", "node-1"}, 20.0)),
    (6.0, ("kept", 5.0, 3.0)),
    (9.0, ("freeze", "node-1", 15.0)),
    (7.0, ("mistake", 5)),
    (4.0, ("at end", 0.6, 20.0)),
    (4.0, ("odd", 10.0)),
]


def gangs_and_services() -> None:
    """No trouble: arrays, gangs and services of all priorities, bound to zones and spread, on more work than fits."""
    with simulated_time() as loop:
        world = SimulatedCluster(loop, seed=41, machines=8)
        world.submit_continuously(3.0, 100.0)
        gevent.sleep(6)
        for number in range(24):
            shape = ("ensemble", "array", "daemon")[number % 3]
            rank = ("critical", "high", "standard", "best_effort")[number % 4]
            allocation = PLACES[number // 2 % len(PLACES)]
            world.submit(
                ("red", "blue")[number % 2], 2 + number % 5, 1.0 + number % 3, shape=shape, rank=rank, **allocation
            )
            gevent.sleep(4)
        world.cancel_running_jobs(5)
        gevent.sleep(60)


def one_controller() -> None:
    """One controller alone, whose process ends twice."""
    with simulated_time() as loop:
        world = SimulatedCluster(loop, seed=42, controllers=1, machines=6)
        world.cancelled_job_rate = 0.3
        world.submit_continuously(2.0, 100.0)
        for _ in range(2):
            gevent.sleep(25)
            world.crash("node-0")
            gevent.sleep(4)
            world.start("node-0")
        gevent.sleep(60)


PLAYS: dict[str, Callable[[], object]] = {
    "gangs and services": gangs_and_services,
    "one controller": one_controller,
    "crashes": lambda: run_schedule(CRASHES, 43),
    "cuts": lambda: run_schedule(CUTS, 44),
    "late messages": lambda: run_schedule(LATE, 45),
    "crashes, reports over any controller": lambda: run_schedule(CRASHES, 46, rules=SPREAD_HEARTBEATS_POLICY),
    "cuts, reports over any controller": lambda: run_schedule(CUTS, 47, rules=SPREAD_HEARTBEATS_POLICY),
    "late messages, reports over any controller": lambda: run_schedule(LATE, 48, rules=SPREAD_HEARTBEATS_POLICY),
}


class History:
    """A running digest of what was seen, and how much that was."""

    def __init__(self) -> None:
        self.digest = hashlib.sha256()
        self.answers = self.orders = self.writes = 0

    def add(self, seconds: float, what: str, content: bytes) -> None:
        """Take in one event at a simulated time."""
        self.digest.update(f"{round(seconds * 1000)} {what} {len(content)} ".encode() + content + b"\n")


@contextmanager
def recorded() -> Iterator[History]:
    """All that users are told, workers are told and the state service is made to change, while it lasts."""
    history = History()
    told, obey, request = ClientHistory.record_response, SimulatedWorker.apply_response, KeyValueStoreEmulator.request

    def told_and_kept(
        self: ClientHistory, status: int, body: bytes, asked: float, now: float, calm_at: float, undone: list[str]
    ) -> ClientObservation:
        history.answers += 1
        history.add(now, f"user {self.job_id} {status}", body)
        return told(self, status, body, asked, now, calm_at, undone)

    def obeyed_and_kept(self: SimulatedWorker, orders: HeartbeatResponse) -> None:
        history.orders += len(orders.commands)
        history.add(self.cluster.loop.time, f"worker {self.name} {self.epoch}", msgspec.json.encode(orders))
        obey(self, orders)

    def requested_and_kept(
        self: KeyValueStoreEmulator, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        status, answer = request(self, method, path, body, timeout)
        if method != "GET":
            history.writes += status == 200 and path == "/commit"
            history.add(self.clock(), f"store {method} {path} {status}", body + b" " + answer)
        return status, answer

    with (
        mock.patch.object(ClientHistory, "record_response", told_and_kept),
        mock.patch.object(SimulatedWorker, "apply_response", obeyed_and_kept),
        mock.patch.object(KeyValueStoreEmulator, "request", requested_and_kept),
    ):
        yield history


def main() -> int:
    """Play and print; return the exit status."""
    parser = argparse.ArgumentParser(description="Prints digests of what simulated clusters did.")
    parser.add_argument("--only", choices=list(PLAYS), metavar="NAME", help="one play: " + "; ".join(PLAYS))
    options = parser.parse_args()
    for name, play in PLAYS.items():
        if options.only in (None, name):
            with recorded() as history:
                play()
            counts = f"{history.answers} answers, {history.orders} commands, {history.writes} commits"
            print(f"{history.digest.hexdigest()}  {name}: {counts}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
