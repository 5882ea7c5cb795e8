"""`grebestand rehearse scale`: real controller processes under the load of a large cluster of hollow workers.

A hollow worker speaks the workers' protocol and executes nothing. The key-value store, the cloud emulator, the hollow
workers, the users and one hollow worker in a process of its own run as child processes (`child_process`) on loopback.
The leader is killed half way through the load, and the follower that answers most heartbeats after three quarters.
Jobs are drawn from the seed, so runs of one seed offer the same load, but their timing depends on the real processes.
`scale_check` decides whether a run passed.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import gevent
import msgspec

from ..clients.http import HttpTransport, UnreachableError
from ..emulators.controller_processes import ControllerProcesses
from ..leader.election import LEADER_KEY
from ..wire.cloud import MachineType
from ..wire.store import KeyValue
from . import figures
from .connection import Connection, NoResponseError, Traffic
from .errors import ControllersUnavailableError, MemoryLimitExceededError, ProcessEndedError
from .figures import Sample
from .part_process import STARTUP_TIMEOUT_S, PartProcess
from .procfs import count_sockets, read_usage
from .records import HollowPlan, HollowRecords, LoadPlan, UserRecords
from .scale_plan import MACHINE_CPUS, MACHINE_TYPE, POLICY_TOML, ZONES, ScaleRunPlan
from .scale_report import (
    RESTART_DELAY_S,
    SINGLE_WORKER_MACHINE,
    SINGLE_WORKER_PROCESS,
    ControllerKill,
    ScaleReport,
    ScaleRunHistory,
    ScaleRunRecord,
    ScaleRunResult,
)
from .scale_summary import ScaleSummary, find_machine_limits

Records = TypeVar("Records", HollowRecords, UserRecords)
#: the machine of a hollow worker: name, loopback host, zone
HollowMachine = tuple[str, str, str]

#: open files that a controller is allowed in addition to its sockets
OPEN_FILES_BESIDES_SOCKETS = 32
#: the load begins after this time even if some workers have not yet received commands from a leader
SETTLE_TIMEOUT_S = 45.0
#: the load begins early if the number of workers that have reached a leader has not grown for this time
SETTLE_IDLE_S = 8.0
#: accepted jobs that are not done this long after the load count as unfinished
DRAIN_TIMEOUT_S = 30.0
#: the run is aborted above this resident memory of all its processes, before they exhaust the host's memory
MEMORY_LIMIT_MB = 12_000.0
#: sockets are counted in one of this many samples only, as listing the open files of a process is slow
SAMPLES_PER_SOCKET_COUNT = 3
SAMPLE_INTERVAL_S = 1.0
#: the shortest pause between two samples, when taking a sample used up the interval
MIN_SAMPLE_PAUSE_S = 0.1
PROGRESS_INTERVAL_S = 5.0
#: rates in progress messages are means over at least this time
PROGRESS_WINDOW_S = 4.5
#: the roles whose CPU use progress messages show
PROGRESS_ROLES = ("leader", "answering", "state", "hollow-0", "users", "worker")
#: when the leader is killed, as a share of the load's duration
LEADER_KILL_SHARE = 0.5
#: when a follower is killed, as a share of the load's duration
FOLLOWER_KILL_SHARE = 0.75
#: the follower to kill is the one that answered most heartbeats during this many samples
FOLLOWER_RATE_SAMPLES = 6
#: a job has at most as many tasks as fit this share of all CPUs
JOB_CPU_SHARE = 0.25
#: a job has at most this many tasks, however large the cluster is
MAX_JOB_TASKS = 512.0
#: timeout of the request to the key-value store that reads the leader's key
LEADER_READ_TIMEOUT_S = 2.0
#: timeout of a health probe of a controller that is starting
STARTUP_PROBE_TIMEOUT_S = 1.0
#: the pause after a failed health probe of a controller that is starting
STARTUP_PROBE_INTERVAL_S = 0.1
#: the interval between checks whether all workers have reached a leader
SETTLE_POLL_S = 0.5


class ScaleRun:
    """One run of the load test: starts all processes, offers load, kills two controllers and takes measurements."""

    def __init__(self, plan: ScaleRunPlan, directory: Path, print_line: Callable[[str], None]) -> None:
        """Prepare a run without starting processes.

        Args:
            plan: The size of the cluster and its load.
            directory: The directory for settings, logs and records.
            print_line: Prints a progress message.
        """
        self.plan = plan
        self.directory = directory
        self.print_line = print_line
        self.clock = time.monotonic
        self.parts: dict[str, PartProcess] = {}
        self.controllers: ControllerProcesses | None = None
        self.samples: list[Sample] = []
        self.kills: list[ControllerKill] = []
        self.hollow_processes = [f"hollow-{index}" for index in range(min(plan.hollow, plan.workers))]
        self.worker_processes = [*self.hollow_processes, SINGLE_WORKER_PROCESS]
        self._store: HttpTransport | None = None

    def run(self) -> ScaleRunResult:
        """Execute the whole run, check it against the rules, and stop all processes.

        Returns:
            The verdict and the figures of the run.

        Raises:
            ScaleRunError: A process did not start, timed out or exited, or the run exceeded its memory limit.
        """
        try:
            controllers = self._start()
            self.print_line(f"{len(self.parts)} processes and {self.plan.controllers} controllers; waiting for workers")
            self._settle(controllers)
            self.parts["users"].execute(do="begin")
            begin = self.clock()
            self._load(controllers, begin)
            end = self.clock()
            self.parts["users"].send(do="rest")
            self._drain(controllers)
            self.print_line("polling the final state of all accepted jobs")
            self.parts["users"].execute(do="ask")
            self._sample(controllers)
            return self._report(controllers, self._collect(), begin, end)
        finally:
            self.stop()

    def stop(self) -> None:
        """Stop all processes that this run has started."""
        if self.controllers is not None:
            self.controllers.stop()
        for part in reversed(self.parts.values()):
            part.stop()

    # startup ----------------------------------------------------------------------------------------------

    def _start(self) -> ControllerProcesses:
        """Start all processes and wait until they are ready.

        The workers send heartbeats only after all controllers accept connections.
        """
        plan = self.plan
        machine_type = MachineType(MACHINE_TYPE, MACHINE_CPUS, 0.0, 64.0, list(ZONES), 100.0, 1.0, 1.0, 0.4, 60.0)
        limits = {"rps": plan.state_rps, "write_rps": plan.write_rps}
        store_address = self._start_part("state", "state", limits).wait_until_ready()["state"]
        shared = self._start_part(
            "meeting", "meeting", {"types": msgspec.to_builtins([machine_type])}
        ).wait_until_ready()
        host, _, port = store_address.rpartition(":")
        self._store = HttpTransport(host, int(port), 1)
        controllers = self.controllers = ControllerProcesses(
            names={f"controller-{index}": ZONES[index % len(ZONES)] for index in range(plan.controllers)},
            service_addresses={"cloud": shared["cloud"], "state": store_address},
            root=self.directory,
            params=plan.settings_toml(),
            policy=POLICY_TOML,
            max_open_files=plan.sockets + OPEN_FILES_BESIDES_SOCKETS,
        )
        self._start_workers(controllers, shared["meeting"])
        self._start_users(controllers, shared["meeting"])
        for part in self.parts.values():
            part.wait_until_ready()
        controllers.start_all()
        self._wait_until_listening(controllers)
        for name in self.worker_processes:
            self.parts[name].execute(do="begin")
        return controllers

    def _start_part(self, name: str, role: str, config: object) -> PartProcess:
        part = self.parts[name] = PartProcess(name, role, config, self.directory)
        return part

    def _start_workers(self, controllers: ControllerProcesses, meeting: str) -> None:
        plan = self.plan
        for index, (name, machines) in enumerate(self._machines_of_processes().items()):
            config = HollowPlan(
                machines=machines,
                type=MACHINE_TYPE,
                cpus=MACHINE_CPUS,
                controllers=controllers.addresses,
                meeting=meeting,
                report_s=plan.report_s,
                lease_s=plan.lease_s,
                gang_wait_s=plan.gang_wait_s,
                gang_peer_s=plan.gang_peer_s,
                seed=plan.seed * 1000 + index,
            )
            self._start_part(name, "hollow", config)

    def _machines_of_processes(self) -> dict[str, list[HollowMachine]]:
        """Distribute the machines over the processes of hollow workers.

        Each machine has its own loopback host, 127.(16 + process).x.y, as a worker needs an address for direct
        commands.
        """
        processes = len(self.hollow_processes)
        machines = [
            (
                f"n-{index + 1:06d}",
                f"127.{16 + index % processes}.{index // 200 % 256}.{index % 200 + 1}",
                ZONES[index % len(ZONES)],
            )
            for index in range(self.plan.workers)
        ]
        groups = {name: machines[index::processes] for index, name in enumerate(self.hollow_processes)}
        groups[SINGLE_WORKER_PROCESS] = [(SINGLE_WORKER_MACHINE, "127.15.0.1", ZONES[0])]
        return groups

    def _start_users(self, controllers: ControllerProcesses, meeting: str) -> None:
        plan = self.plan
        config = LoadPlan(
            controllers=controllers.addresses,
            meeting=meeting,
            teams=plan.team_limits(),
            rate=plan.rate,
            urgent_rate=plan.urgent_rate,
            task_s=plan.task_s,
            most_tasks=int(min(MAX_JOB_TASKS, plan.cpus * JOB_CPU_SHARE)),
            seed=plan.seed,
        )
        self._start_part("users", "users", config)

    def _wait_until_listening(self, controllers: ControllerProcesses) -> None:
        """Wait until all controllers accept connections.

        Without this wait, the report would count connections refused during the startup.

        Raises:
            ControllersUnavailableError: A controller does not accept connections within the startup timeout.
        """
        deadline = self.clock() + STARTUP_TIMEOUT_S
        for address in controllers.addresses.values():
            while not self._probe(address, controllers, deadline):
                gevent.sleep(STARTUP_PROBE_INTERVAL_S)

    def _probe(self, address: str, controllers: ControllerProcesses, deadline: float) -> bool:
        """Return whether a controller answers a health probe.

        Args:
            address: The address of the controller.
            controllers: The controllers whose last log lines an error shows.
            deadline: The time after which a failed probe is an error, in seconds of the run's clock.

        Raises:
            ControllersUnavailableError: The controller did not answer, and the deadline has passed.
        """
        try:
            Connection(address, Traffic()).request("GET", "/healthz", b"", STARTUP_PROBE_TIMEOUT_S)
        except NoResponseError as error:
            if self.clock() > deadline:
                raise ControllersUnavailableError(
                    f"controller at {address} did not answer /healthz within {STARTUP_TIMEOUT_S:.0f} s of its start",
                    controllers.last_log_lines(),
                ) from error
            return False
        return True

    def _settle(self, controllers: ControllerProcesses) -> None:
        """Wait until a controller is healthy and all workers have received a leader's response.

        The wait also ends when no further worker has received one for `SETTLE_IDLE_S`, or after `SETTLE_TIMEOUT_S`.

        Raises:
            ControllersUnavailableError: All controllers have exited, or no worker received a leader's response.
        """
        begin = last_increase = self.clock()
        most, wanted = 0, self.plan.workers + 1
        while self.clock() - begin < SETTLE_TIMEOUT_S:
            gevent.sleep(SETTLE_POLL_S)
            if not any(controllers.is_running(name) for name in controllers.names):
                raise ControllersUnavailableError(
                    f"all {len(controllers.names)} controllers exited before the load began",
                    controllers.last_log_lines(),
                )
            answered = self._answered_workers()
            if answered > most:
                most, last_increase = answered, self.clock()
            if answered == wanted and self.parts["users"].counts.get("healthy", 0):
                break
            if most and self.clock() - last_increase > SETTLE_IDLE_S:
                break
        if most == 0:
            raise ControllersUnavailableError(
                f"none of {wanted} workers received a leader's response within {SETTLE_TIMEOUT_S:.0f} s",
                controllers.last_log_lines(),
            )
        self.print_line(f"{most} of {wanted} workers reached a leader within {self.clock() - begin:.1f} s")
        if most < wanted:
            self.print_line(f"starting the load although {wanted - most} workers have not reached a leader")

    def _answered_workers(self) -> int:
        """Return how many workers have received a leader's response."""
        return sum(int(self.parts[name].counts.get("answered", 0)) for name in self.worker_processes)

    # sampling ---------------------------------------------------------------------------------------------

    def read_leader(self) -> str | None:
        """Return the name of the leader, or None if there is none or the key-value store does not answer.

        Each call adds one request to those that the key-value store counts.
        """
        assert self._store is not None
        try:
            status, body = self._store.request("GET", f"/store/{LEADER_KEY}", b"", LEADER_READ_TIMEOUT_S)
        except UnreachableError:
            return None
        return str(msgspec.json.decode(body, type=KeyValue).value["name"]) if status == 200 else None

    def _sample(self, controllers: ControllerProcesses) -> Sample:
        """Take a sample of all processes, and check that the run can continue.

        Raises:
            ProcessEndedError: A child process has exited.
            MemoryLimitExceededError: The processes together use more memory than `MEMORY_LIMIT_MB`.
        """
        sample = Sample(self.clock(), self.read_leader())
        self._measure_processes(sample, controllers)
        self._copy_counts(sample)
        self.samples.append(sample)
        memory_mb = sum(sample.memory_mb.values())
        if memory_mb > MEMORY_LIMIT_MB:
            raise MemoryLimitExceededError(memory_mb, MEMORY_LIMIT_MB)
        for name, part in self.parts.items():
            if not part.alive:
                raise ProcessEndedError(name, part.last_log_line())
        return sample

    def _measure_processes(self, sample: Sample, controllers: ControllerProcesses) -> None:
        """Measure CPU time, memory and, in some samples, sockets of all child processes and controllers."""
        pids = {name: part.pid for name, part in self.parts.items()}
        pids |= {name: pid for name in controllers.names if (pid := controllers.pid(name)) is not None}
        for name, pid in pids.items():
            used = read_usage(pid)
            if used is not None:
                sample.cpu_s[name], sample.memory_mb[name] = used.cpu_s, used.memory_mb
        if len(self.samples) % SAMPLES_PER_SOCKET_COUNT == 0:
            sample.sockets = {name: count_sockets(pid) for name, pid in pids.items()}

    def _copy_counts(self, sample: Sample) -> None:
        """Copy the last counters of all child processes into a sample."""
        sample.counts = {name: part.counts for name, part in self.parts.items()}
        worker_counts = [sample.counts[name] for name in self.worker_processes]
        sample.response_counts = figures.sum_response_counts(worker_counts)
        for counts in worker_counts:
            for controller, count in counts.get("bytes_at", {}).items():
                sample.heartbeat_bytes[controller] = sample.heartbeat_bytes.get(controller, 0) + count

    # load -------------------------------------------------------------------------------------------------

    def _load(self, controllers: ControllerProcesses, begin: float) -> None:
        """Take samples and kill two controllers while users submit jobs.

        Args:
            controllers: The controller processes.
            begin: When the users began to submit jobs, in seconds of the run's clock.
        """
        seconds = self.plan.seconds
        due_kills = [
            (begin + seconds * LEADER_KILL_SHARE, self._kill_leader),
            (begin + seconds * FOLLOWER_KILL_SHARE, self._kill_answering),
        ]
        progress_at = begin
        while (now := self.clock()) < begin + seconds:
            sample = self._sample(controllers)
            if due_kills:
                due_at, kill = due_kills[0]
                if now >= due_at and kill(controllers, sample):
                    due_kills.pop(0)
            if now - progress_at >= PROGRESS_INTERVAL_S:
                progress_at = now
                self._print_progress(controllers, sample)
            gevent.sleep(max(MIN_SAMPLE_PAUSE_S, SAMPLE_INTERVAL_S - (self.clock() - now)))
        if due_kills:
            self.print_line(f"{len(due_kills)} of 2 planned kills did not happen: no running leader was found in time")

    def _print_progress(self, controllers: ControllerProcesses, sample: Sample) -> None:
        """Print the progress of jobs, and the rates and CPU use over at least `PROGRESS_WINDOW_S`."""
        users = self.parts["users"].counts
        running = sum(int(self.parts[name].counts.get("running", 0)) for name in self.hollow_processes)
        earlier = (s for s in reversed(self.samples) if sample.at - s.at >= PROGRESS_WINDOW_S)
        window = figures.window_figures(
            [next(earlier, self.samples[0]), sample], controllers.names, self.hollow_processes
        )
        roles = window.get("roles", {})
        cores = ", ".join(f"{role} {roles[role]['cpu_share']:.2f}" for role in PROGRESS_ROLES if role in roles)
        self.print_line(
            f"jobs {users.get('done', 0)} done of {users.get('jobs', 0)}, tasks running {running}, "
            f"heartbeats {window.get('reports_per_s', 0.0):.0f}/s; leader {sample.leader}; CPU cores: {cores}"
        )

    def _kill_leader(self, controllers: ControllerProcesses, sample: Sample) -> bool:
        """Kill the leader; return False if no running controller leads."""
        name = sample.leader
        if name is None or not controllers.is_running(name):
            return False
        self._kill(controllers, name, "leader")
        return True

    def _kill_answering(self, controllers: ControllerProcesses, sample: Sample) -> bool:
        """Kill the follower that answered most heartbeats in the last samples.

        Returns:
            False if there is no leader, so that the kill has to be tried again.
        """
        if sample.leader is None:
            return False
        earlier = self.samples[max(0, len(self.samples) - FOLLOWER_RATE_SAMPLES)]
        followers = [name for name in controllers.names if name != sample.leader and controllers.is_running(name)]

        def recent_answers(name: str) -> int:
            now, before = sample.response_counts.get(name, {}), earlier.response_counts.get(name, {})
            return sum(now.get(status, 0) - before.get(status, 0) for status in figures.RESPONSE_STATUSES)

        if followers:
            self._kill(controllers, max(followers, key=recent_answers), "answering")
        return True

    def _kill(self, controllers: ControllerProcesses, name: str, role: str) -> None:
        """Kill a controller, record the kill, and schedule the restart of the controller."""
        self.print_line(f"killing controller {name} ({role}); restarting it in {RESTART_DELAY_S:.0f} s")
        self.kills.append(ControllerKill(name, role, self.clock()))
        controllers.kill(name)
        gevent.spawn_later(RESTART_DELAY_S, controllers.start, name)

    def _drain(self, controllers: ControllerProcesses) -> None:
        """Wait until all accepted jobs are done and a killed controller has been restarted.

        The wait ends after `DRAIN_TIMEOUT_S` at the latest.
        """
        begin = self.clock()
        while self.clock() - begin < DRAIN_TIMEOUT_S:
            self._sample(controllers)
            users = self.parts["users"].counts
            if users.get("done") == users.get("accepted") and self.clock() - begin > RESTART_DELAY_S:
                break
            gevent.sleep(SAMPLE_INTERVAL_S)
        users = self.parts["users"].counts
        self.print_line(f"{users.get('accepted', 0) - users.get('done', 0)} accepted jobs are not done at the end")

    # result -----------------------------------------------------------------------------------------------

    def _collect(self) -> ScaleRunHistory:
        """Merge the records of all processes of hollow workers and of the users."""
        history = ScaleRunHistory(limits=self.plan.team_limits())
        for name in self.worker_processes:
            records = self._read_records(name, HollowRecords)
            history.rows += records.rows
            history.unserved += records.unserved
            history.sent_at += records.sent_at
            history.waits += records.waits
        polls = self._read_records("users", UserRecords)
        history.jobs = polls.jobs
        history.unserved += polls.unserved
        return history

    def _read_records(self, name: str, kind: type[Records]) -> Records:
        """Have a child process write its records to a file, and return the records.

        Args:
            name: The name of the child process.
            kind: The structure of its records.

        Raises:
            ProcessEndedError: The child process has exited.
            ProcessTimeoutError: The child process did not write its records in time.
        """
        file = self.directory / f"{name}.kept"
        response = self.parts[name].execute(do="keep", file=str(file))
        if response["faults"]:
            last_line = self.parts[name].last_log_line()
            self.print_line(f"process {name} had {response['faults']} unhandled errors; last log line: {last_line}")
        return msgspec.msgpack.decode(file.read_bytes(), type=kind)

    def _report(
        self, controllers: ControllerProcesses, history: ScaleRunHistory, begin: float, end: float
    ) -> ScaleRunResult:
        """Check the run against the rules, compute its figures and print a summary.

        Args:
            controllers: The controller processes.
            history: The records of hollow workers and users.
            begin: When the load began, in seconds of the run's clock.
            end: When the load ended, in seconds of the run's clock.
        """
        record = ScaleRunRecord(
            plan=self.plan,
            log_directory=self.directory,
            controllers=controllers.names,
            hollow_processes=self.hollow_processes,
            samples=self.samples,
            kills=self.kills,
            history=history,
            counts={name: part.counts for name, part in self.parts.items()},
            load_begin=begin,
            load_end=end,
        )
        result = ScaleReport(record).result()
        result.figures["not_borne"] = find_machine_limits(result.figures, self.hollow_processes)
        ScaleSummary(result.figures, self.print_line).print(result.verdict)
        return result


def run_scale_test(plan: ScaleRunPlan, print_line: Callable[[str], None], keep: Path | None = None) -> ScaleRunResult:
    """Execute a run of the load test.

    Args:
        plan: The size of the cluster and its load.
        print_line: Prints a progress message.
        keep: The directory for settings, logs and records; without it, a temporary directory is used and removed.

    Returns:
        The verdict and the figures of the run.

    Raises:
        ScaleRunError: The run was aborted.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return ScaleRun(plan, keep, print_line).run()
    with tempfile.TemporaryDirectory(prefix="grebestand-") as directory:
        return ScaleRun(plan, Path(directory), print_line).run()
