"""Measures how the cost of a leader's cluster state and decisions grows, in one process, for `capacity.toml`.

    python3 tools/slopes.py [decisions] [books] [bytes] [--machines N ...] [--seeds N]

`decisions` measures the steps of `decisions.py` with each number of machines and each seed, with 25 tasks per machine.
`books` measures the resident memory of the cluster state by numbers of machines and waiting tasks. `bytes` measures
the encoded sizes of records, heartbeats, responses and messages between controllers, and the time to check settings.
The tool prints one line of JSON for each size, with the values of all seeds in order. All results are for simulated
machines.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(_ROOT / "src"), str(_ROOT / "tools"), str(_ROOT / "target" / "deps")]

import decisions  # noqa: E402
import gevent.socket  # noqa: E402
import msgspec  # noqa: E402

from grebestand.api import http_server  # noqa: E402
from grebestand.api.response import Response  # noqa: E402
from grebestand.clients.kv_store import put  # noqa: E402
from grebestand.settings import platform, policy  # noqa: E402
from grebestand.storage.job_records import CompletedJobRecord, LiveJobRecord  # noqa: E402
from grebestand.storage.leader_records import GrantRecord, MachineRecord  # noqa: E402
from grebestand.wire.jobs import JobStatus  # noqa: E402
from grebestand.wire.peers import CachedImages, PeerStatus  # noqa: E402
from grebestand.wire.workers import Command, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus  # noqa: E402

TASKS_PER_MACHINE = 25
#: Loopback port of the server whose HTTP headers are measured.
HEADERS_PORT = 18911


def print_measurement(kind: str, size: int, values: Mapping[str, Sequence[float]]) -> None:
    """Print one measurement as a line of JSON.

    Args:
        kind: What was measured, as named in `capacity.toml`.
        size: Number of machines, tasks, jobs or other items with which it was measured.
        values: Measured values by name.
    """
    print(json.dumps({"kind": kind, "size": size, "values": values}), flush=True)


def measure_decisions(sizes: list[int], seeds: int) -> None:
    """Measure the processor time of decisions with each number of machines."""
    for machines in sizes:
        values: dict[str, list[float]] = {}
        for seed in range(1, seeds + 1):
            for step, cost in decisions.measure(machines, machines * TASKS_PER_MACHINE, seed, False).items():
                values.setdefault(step, []).append(round(cost.processor_s, 6))
                values.setdefault(f"{step}, longest", []).append(round(cost.longest_s, 6))
        print_measurement("decisions", machines, values)


def _resident_bytes() -> float:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as f:
        return float(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _in_child(measure: Callable[[], float]) -> float:
    """Run a measurement in a child process, where no memory freed by earlier measurements is reused."""
    read_end, write_end = os.pipe()
    child = os.fork()
    if not child:
        os.write(write_end, repr(measure()).encode())
        os._exit(0)
    os.close(write_end)
    with os.fdopen(read_end) as pipe:
        result = pipe.read()
    os.waitpid(child, 0)
    return float(result)


def _cluster_state_mb(machines: int, tasks: int, seed: int, part: str) -> float:
    """Measure the memory of cluster state in this process.

    Args:
        machines: Number of machines.
        tasks: Number of tasks in all jobs.
        seed: Seed of the model.
        part: "machines" or "waiting" for machines or waiting jobs alone; any other value for machines and jobs, with
            placed tasks and the data that scheduling passes keep.

    Returns:
        Growth of the resident memory, in megabytes.
    """
    model = decisions.LeaderModel(machines, tasks, seed)
    gc.collect()
    before = _resident_bytes()
    if part == "machines":
        for name, kind, zone, spot in model.machines:
            model.inventory.add_machine(name, f"{name}:1", kind, zone, spot, model.now, recorded=True)
    elif part == "waiting":
        for i, spec in enumerate(model.specs):
            model.registry.add_job(spec, i + 1, model.now - 20.0, model.now)
    else:
        for _ in model.take_over_steps():
            pass
        for step in (model.update_targets_steps, model.full_pass_steps):
            for _ in step():
                pass
        model.report_all()
    gc.collect()
    return (_resident_bytes() - before) / 1e6


def measure_cluster_state(sizes: list[int], seeds: int) -> None:
    """Measure the memory of the cluster state with each number of machines."""
    for machines in sizes:
        tasks = machines * TASKS_PER_MACHINE
        values: dict[str, list[float]] = {"machines, MB": [], "waiting tasks, MB": [], "whole, MB": []}
        for seed in range(1, seeds + 1):
            for name, machine_count, task_count, part in (
                ("machines, MB", machines, 100, "machines"),
                ("waiting tasks, MB", 100, tasks, "waiting"),
                ("whole, MB", machines, tasks, "whole"),
            ):
                measure = partial(_cluster_state_mb, machine_count, task_count, seed, part)
                values[name].append(round(_in_child(measure), 2))
        print_measurement("books", machines, values)


def _status(i: int) -> TaskStatus:
    return TaskStatus(f"j-{412 + i:06d}/{17 * i}", 2, TaskPhase.RUNNING)


def measure_bytes() -> None:
    """Measure the encoded sizes of records in the state service, heartbeats and responses, in bytes."""
    model = decisions.LeaderModel(100, 20_000, 1)
    specs = model.specs
    encode = msgspec.json.encode
    live = [
        len(encode(put(f"live/{spec.id}", msgspec.to_builtins(LiveJobRecord(spec, 1764652719.25))))) for spec in specs
    ]
    over = [
        len(encode(put(f"over/{spec.id}", msgspec.to_builtins(CompletedJobRecord(JobStatus.DONE, spec.tasks)))))
        for spec in specs
    ]
    teams = [
        len(f"t-{i:04d}") + 4 + len(encode(platform.Team(f"t-{i:04d}", 90.0, 270.0, 8.0, 24.0))) for i in range(710)
    ]
    print_measurement("bytes of a team's record", 710, {"bytes": [sum(teams) / 710, min(teams), max(teams)]})
    machine = len("n-000231") + 4 + len(encode(MachineRecord("g8", "marrakech", False, "10.1.0.232:9000")))
    print_measurement("bytes of a live record", len(specs), {"bytes": [sum(live) / len(live), min(live), max(live)]})
    print_measurement("bytes of an over record", len(specs), {"bytes": [sum(over) / len(over), min(over), max(over)]})
    print_measurement("bytes of a machine's record on its page", 1, {"bytes": [machine]})
    for named in (0, 1, 4, 8, 16):
        names = [f"n-{i:06d}" for i in range(named)] if named else None
        print_measurement(
            "bytes of a grant on its page",
            named,
            {"bytes": [len("j-000412") + 4 + len(encode(GrantRecord(400, names)))]},
        )
    for tasks in (0, 6, 16, 32):
        report = Heartbeat(
            "n-000231",
            "10.1.0.232:9000",
            "g8",
            "marrakech",
            True,
            1,
            8812,
            41,
            None,
            [_status(i) for i in range(tasks)],
        )
        print_measurement("bytes of a report's body", tasks, {"bytes": [len(encode(report))]})
    for commands in (0, 1, 6, 16):
        response = HeartbeatResponse(41, [Command("start", f"j-000412/{i}", 2) for i in range(commands)])
        print_measurement("bytes of an answer's body", commands, {"bytes": [len(encode(response))]})


def measure_messages() -> None:
    """Measure messages between controllers: status by number of jobs, cached images by number of machines, in bytes."""
    encode = msgspec.msgpack.encode
    for jobs in (0, 100, 400, 1600):
        counts = {f"j-{i:06d}": (400, 300) for i in range(jobs)}
        status = PeerStatus(
            "berth-0", 4_812_000, 0.02, counts, 0, 0.01, [f"10.1.0.{i}:9000" for i in range(4)], 1 << 61, []
        )
        print_measurement("bytes of a greeting", jobs, {"bytes": [len(encode(status))]})
    for machines in (650, 1300, 2600, 5200):
        images_by_machine = {f"n-{i:06d}": [i % 40, (i + 7) % 40, (i + 19) % 40] for i in range(machines)}
        images = CachedImages([f"img-{i:02d}" for i in range(40)], [6.25] * 40, images_by_machine)
        print_measurement("bytes of the word of images", machines, {"bytes": [len(encode(images))]})


def measure_http_headers() -> None:
    """Measure the HTTP headers of a heartbeat and of the response over a real connection, in bytes."""
    body = msgspec.json.encode(HeartbeatResponse(41, []))
    response_head_bytes: list[int] = []

    def app(environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        http_server.read_body(environ)
        return http_server.respond(Response(200, body), start)

    server = http_server.listen(f"127.0.0.1:{HEADERS_PORT}", "serve_on", app, 10)
    server.start()
    connection = gevent.socket.create_connection(("127.0.0.1", HEADERS_PORT))
    report = b"x" * 480
    head = b"POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\n"
    head += b"Content-Length: 480\r\n\r\n"
    connection.sendall(head + report)
    response_head_bytes.append(len(connection.recv(65536)) - len(body))
    connection.close()
    server.stop()
    print_measurement("bytes of the head of a report", 1, {"bytes": [len(head)]})
    print_measurement("bytes of the head of an answer", 1, {"bytes": response_head_bytes})


def measure_settings(seeds: int) -> None:
    """Measure the processor time to read and check the policy and settings by number of teams, in seconds."""
    for teams in (100, 355, 710, 1065):
        text = decisions.SETTINGS + "".join(
            f'[[params.teams]]\nname = "team-{i:04d}"\ncpus = 90.0\ncpus_max = 270.0\n' for i in range(teams)
        )
        seconds: list[float] = []
        for _ in range(seeds):
            begin = time.process_time()
            platform.parse(text)
            policy.default()
            seconds.append(round(time.process_time() - begin, 6))
        print_measurement("reading and checking settings", teams, {"s": seconds, "bytes": [len(text)]})


def main() -> int:
    """Run the measurements named on the command line, and return the exit status."""
    parser = argparse.ArgumentParser(description="Measures how the cost of cluster state and decisions grows.")
    parser.add_argument("what", nargs="*", default=["decisions", "books", "bytes"])
    parser.add_argument("--machines", type=int, nargs="+", default=[650, 1300, 2600, 5200, 10400, 20000])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    if "bytes" in options.what:
        measure_bytes()
        measure_messages()
        measure_http_headers()
        measure_settings(options.seeds)
    if "decisions" in options.what:
        measure_decisions(options.machines, options.seeds)
    if "books" in options.what:
        measure_cluster_state(options.machines, options.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
