"""Prints digests of the behaviour of simulated clusters, which show whether a change of the code changes a decision.

    python3 tools/history_digest.py [--only NAME] > digests.txt

The tool runs real controllers on simulated time (`simulation.cluster`) under seeded schedules of faults. For each
scenario it prints a SHA-256 digest of the externally visible events: each response to a user, each set of commands that
a worker executed, and each request that changed the state service, in order, with the simulated time in milliseconds.
The digest covers messages as they are sent and no identifiers of the code, so that a change that only moves or renames
code must print the digests in `tests/fixtures/history_digests.txt`. A change that alters decisions on purpose prints
other digests, which is why no test compares them. The tool needs the same packages as the tests.
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

#: Placement constraints of the jobs of the first scenario.
PLACEMENT_CONSTRAINTS: list[dict[str, Any]] = [{"quay": "a"}, {"samePlace": True}, {"scatter": True}, {}]

#: Crashed, restarted and hung controllers and machines, each after a pause in seconds.
CRASHES: Schedule = [
    (6.0, ("crash", "node-0", 5.0)),
    (9.0, ("blink", {"node-1", "node-2"}, 0.3)),
    (7.0, ("restart", 3, True)),
    (8.0, ("hang", 5, 25.0)),
    (5.0, ("blink", set(CONTROLLERS), 0.4)),
    (9.0, ("cancels", 4, 8.0)),
    (6.0, ("taken", 2)),
]
#: Interrupted and slow network links, each after a pause in seconds.
LINK_FAULTS: Schedule = [
    (5.0, ("gap", 3.0, 15.0, LinkMode.REFUSED)),
    (30.0, ("alone", "node-1", LinkMode.HELD)),
    (12.0, ("heal",)),
    (6.0, ("cut", "node-0", STATE, LinkMode.SLOW)),
    (7.0, ("cut", "node-2", "a", LinkMode.RESPONSES_LOST)),
    (10.0, ("zone", "node-0", "b", 20.0)),
]
#: Late, lost and repeated messages, each after a pause in seconds.
MESSAGE_FAULTS: Schedule = [
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


def run_gangs_and_services() -> None:
    """Run arrays, gangs and services of all priorities and placement constraints, without faults, on a full cluster."""
    with simulated_time() as loop:
        cluster = SimulatedCluster(loop, seed=41, machines=8)
        cluster.submit_continuously(3.0, 100.0)
        gevent.sleep(6)
        for number in range(24):
            shape = ("ensemble", "array", "daemon")[number % 3]
            rank = ("critical", "high", "standard", "best_effort")[number % 4]
            constraints = PLACEMENT_CONSTRAINTS[number // 2 % len(PLACEMENT_CONSTRAINTS)]
            cluster.submit(
                ("red", "blue")[number % 2], 2 + number % 5, 1.0 + number % 3, shape=shape, rank=rank, **constraints
            )
            gevent.sleep(4)
        cluster.cancel_running_jobs(5)
        gevent.sleep(60)


def run_one_controller() -> None:
    """Run a cluster with a single controller that crashes and restarts twice."""
    with simulated_time() as loop:
        cluster = SimulatedCluster(loop, seed=42, controllers=1, machines=6)
        cluster.cancelled_job_rate = 0.3
        cluster.submit_continuously(2.0, 100.0)
        for _ in range(2):
            gevent.sleep(25)
            cluster.crash("node-0")
            gevent.sleep(4)
            cluster.start("node-0")
        gevent.sleep(60)


#: Scenarios by the name that is printed.
SCENARIOS: dict[str, Callable[[], object]] = {
    "gangs and services": run_gangs_and_services,
    "one controller": run_one_controller,
    "crashes": lambda: run_schedule(CRASHES, 43),
    "cuts": lambda: run_schedule(LINK_FAULTS, 44),
    "late messages": lambda: run_schedule(MESSAGE_FAULTS, 45),
    "crashes, reports over any controller": lambda: run_schedule(CRASHES, 46, rules=SPREAD_HEARTBEATS_POLICY),
    "cuts, reports over any controller": lambda: run_schedule(LINK_FAULTS, 47, rules=SPREAD_HEARTBEATS_POLICY),
    "late messages, reports over any controller": lambda: run_schedule(
        MESSAGE_FAULTS, 48, rules=SPREAD_HEARTBEATS_POLICY
    ),
}


class HistoryDigest:
    """A running digest of the visible events.

    Attributes:
        digest: The SHA-256 digest of the events so far.
        responses: Number of responses to users.
        commands: Number of commands that workers executed.
        commits: Number of successful transactions of the state service.
    """

    def __init__(self) -> None:
        self.digest = hashlib.sha256()
        self.responses = self.commands = self.commits = 0

    def add(self, seconds: float, what: str, content: bytes) -> None:
        """Add one event to the digest.

        Args:
            seconds: Simulated time of the event, in seconds.
            what: Kind of the event and the names of the participants.
            content: The message.
        """
        self.digest.update(f"{round(seconds * 1000)} {what} {len(content)} ".encode() + content + b"\n")


@contextmanager
def record_digest() -> Iterator[HistoryDigest]:
    """Return a digest of all visible events of simulated clusters that run within the context."""
    history = HistoryDigest()
    original_record_response = ClientHistory.record_response
    original_apply_response = SimulatedWorker.apply_response
    original_request = KeyValueStoreEmulator.request

    def record_response(
        self: ClientHistory,
        status: int,
        body: bytes,
        sent_at: float,
        now: float,
        faults_ended_at: float,
        unfinished_tasks: list[str],
    ) -> ClientObservation:
        history.responses += 1
        history.add(now, f"user {self.job_id} {status}", body)
        return original_record_response(self, status, body, sent_at, now, faults_ended_at, unfinished_tasks)

    def record_commands(self: SimulatedWorker, response: HeartbeatResponse) -> None:
        history.commands += len(response.commands)
        history.add(self.cluster.loop.time, f"worker {self.name} {self.epoch}", msgspec.json.encode(response))
        original_apply_response(self, response)

    def record_store_request(
        self: KeyValueStoreEmulator, method: str, path: str, body: bytes, timeout: float
    ) -> tuple[int, bytes]:
        status, response = original_request(self, method, path, body, timeout)
        if method != "GET":
            history.commits += status == 200 and path == "/commit"
            history.add(self.clock(), f"store {method} {path} {status}", body + b" " + response)
        return status, response

    with (
        mock.patch.object(ClientHistory, "record_response", record_response),
        mock.patch.object(SimulatedWorker, "apply_response", record_commands),
        mock.patch.object(KeyValueStoreEmulator, "request", record_store_request),
    ):
        yield history


def main() -> int:
    """Run the scenarios, print their digests and return the exit status."""
    parser = argparse.ArgumentParser(description="Prints digests of the behaviour of simulated clusters.")
    parser.add_argument(
        "--only", choices=list(SCENARIOS), metavar="NAME", help="run one scenario only: " + "; ".join(SCENARIOS)
    )
    options = parser.parse_args()
    for name, run_scenario in SCENARIOS.items():
        if options.only in (None, name):
            with record_digest() as history:
                run_scenario()
            counts = f"{history.responses} answers, {history.commands} commands, {history.commits} commits"
            print(f"{history.digest.hexdigest()}  {name}: {counts}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
