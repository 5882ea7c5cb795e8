"""Measures, in this one process, what the books and the decisions of a leader cost as they grow, for `capacity.toml`.

    python3 tools/slopes.py [decisions] [books] [bytes] [--machines N ...] [--seeds N]

`decisions` takes the steps of `decisions.py` at each size and seed, with 25 tasks a machine; `books` gives the
resident memory of the books by machines, jobs and waiting tasks; `bytes` encodes records, reports, answers and
greetings with the code's own types, and times the check of the settings. Prints JSON, one line for each size: values
of all seeds in order. Figures are of simulated machines.
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

TASKS_A_MACHINE = 25


def say(kind: str, size: int, values: Mapping[str, Sequence[float]]) -> None:
    """Print one measurement as a line of JSON."""
    print(json.dumps({"kind": kind, "size": size, "values": values}), flush=True)


def measure_decisions(sizes: list[int], seeds: int) -> None:
    """Measure the decision side at each size."""
    for n in sizes:
        found: dict[str, list[float]] = {}
        for seed in range(1, seeds + 1):
            for step, cost in decisions.measure(n, n * TASKS_A_MACHINE, seed, False).items():
                found.setdefault(step, []).append(round(cost.seconds, 6))
                found.setdefault(f"{step}, longest", []).append(round(cost.longest, 6))
        say("decisions", n, found)


def _resident() -> float:
    """Bytes of this process in memory."""
    with open("/proc/self/statm") as f:
        return float(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _in_child(measure: Callable[[], float]) -> float:
    """What a measure gives in a process of its own, so that nothing freed earlier is used again."""
    reconciler, writer = os.pipe()
    child = os.fork()
    if not child:
        os.write(writer, repr(measure()).encode())
        os._exit(0)
    os.close(writer)
    with os.fdopen(reconciler) as f:
        answer = f.read()
    os.waitpid(child, 0)
    return float(answer)


def _books(machines: int, tasks: int, seed: int, part: str) -> float:
    model = decisions.Model(machines, tasks, seed)
    gc.collect()
    before = _resident()
    if part == "machines":
        for name, kind, zone, spot in model.machines:
            model.inventory.add(name, f"{name}:1", kind, zone, spot, model.now, recorded=True)
    elif part == "waiting":
        for i, spec in enumerate(model.specs):
            model.registry.add(spec, i + 1, model.now - 20.0, model.now)
    else:  # everything, with what is placed and what passes remember
        for _ in model.take_over():
            pass
        for step in (model.retarget, model.one_pass):
            for _ in step():
                pass
        model.everyone()
    gc.collect()
    return (_resident() - before) / 1e6


def measure_books(sizes: list[int], seeds: int) -> None:
    """Measure the memory of the cluster state at each size."""
    for n in sizes:
        found: dict[str, list[float]] = {"machines, MB": [], "waiting tasks, MB": [], "whole, MB": []}
        for seed in range(1, seeds + 1):
            found["machines, MB"].append(round(_in_child(partial(_books, n, 100, seed, "machines")), 2))
            found["waiting tasks, MB"].append(
                round(_in_child(partial(_books, 100, n * TASKS_A_MACHINE, seed, "waiting")), 2)
            )
            found["whole, MB"].append(round(_in_child(partial(_books, n, n * TASKS_A_MACHINE, seed, "whole")), 2))
        say("books", n, found)


def _status(i: int) -> TaskStatus:
    return TaskStatus(f"j-{412 + i:06d}/{17 * i}", 2, TaskPhase.RUNNING)


def measure_bytes() -> None:
    """Measure the bytes of records."""
    model = decisions.Model(100, 20_000, 1)
    specs = model.specs
    encode = msgspec.json.encode
    live = [len(encode(put(f"live/{s.id}", msgspec.to_builtins(LiveJobRecord(s, 1764652719.25))))) for s in specs]
    over = [
        len(encode(put(f"over/{s.id}", msgspec.to_builtins(CompletedJobRecord(JobStatus.DONE, s.tasks)))))
        for s in specs
    ]
    teams = [
        len(f"t-{i:04d}") + 4 + len(encode(platform.Team(f"t-{i:04d}", 90.0, 270.0, 8.0, 24.0))) for i in range(710)
    ]
    say("bytes of a team's record", 710, {"bytes": [sum(teams) / 710, min(teams), max(teams)]})
    machine = len("n-000231") + 4 + len(encode(MachineRecord("g8", "marrakech", False, "10.1.0.232:9000")))
    say("bytes of a live record", len(specs), {"bytes": [sum(live) / len(live), min(live), max(live)]})
    say("bytes of an over record", len(specs), {"bytes": [sum(over) / len(over), min(over), max(over)]})
    say("bytes of a machine's record on its page", 1, {"bytes": [machine]})
    for named in (0, 1, 4, 8, 16):
        names = [f"n-{i:06d}" for i in range(named)] if named else None
        say(
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
        say("bytes of a report's body", tasks, {"bytes": [len(encode(report))]})
    for commands in (0, 1, 6, 16):
        orders = HeartbeatResponse(41, [Command("start", f"j-000412/{i}", 2) for i in range(commands)])
        say("bytes of an answer's body", commands, {"bytes": [len(encode(orders))]})


def measure_messages() -> None:
    """What controllers send each other: greetings by jobs with counts, the word of images by machines."""
    encode = msgspec.msgpack.encode
    for jobs in (0, 100, 400, 1600):
        counts = {f"j-{i:06d}": (400, 300) for i in range(jobs)}
        hello = PeerStatus(
            "berth-0", 4_812_000, 0.02, counts, 0, 0.01, [f"10.1.0.{i}:9000" for i in range(4)], 1 << 61, []
        )
        say("bytes of a greeting", jobs, {"bytes": [len(encode(hello))]})
    for machines in (650, 1300, 2600, 5200):
        held = {f"n-{i:06d}": [i % 40, (i + 7) % 40, (i + 19) % 40] for i in range(machines)}
        images = CachedImages([f"img-{i:02d}" for i in range(40)], [6.25] * 40, held)
        say("bytes of the word of images", machines, {"bytes": [len(encode(images))]})


def measure_envelope() -> None:
    """Bytes of a request's and a response's head over a real connection, and the processor time of both ends."""
    body = msgspec.json.encode(HeartbeatResponse(41, []))
    seen: list[int] = []

    def app(environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        http_server.read_body(environ)
        return http_server.respond(Response(200, body), start)

    served = http_server.listen("127.0.0.1:18911", "serve_on", app, 10)
    served.start()
    conn = gevent.socket.create_connection(("127.0.0.1", 18911))
    report = b"x" * 480
    head = b"POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\n"
    head += b"Content-Length: 480\r\n\r\n"
    conn.sendall(head + report)
    seen.append(len(conn.recv(65536)) - len(body))
    conn.close()
    served.stop()
    say("bytes of the head of a report", 1, {"bytes": [len(head)]})
    say("bytes of the head of an answer", 1, {"bytes": seen})


def measure_settings(seeds: int) -> None:
    """Processor time to read and check the platform's settings with so many teams, and the policy."""
    for teams in (100, 355, 710, 1065):
        text = decisions.SETTINGS + "".join(
            f'[[params.teams]]\nname = "team-{i:04d}"\ncpus = 90.0\ncpus_max = 270.0\n' for i in range(teams)
        )
        found: list[float] = []
        for _ in range(seeds):
            begin = time.process_time()
            platform.parse(text)
            policy.default()
            found.append(round(time.process_time() - begin, 6))
        say("reading and checking settings", teams, {"s": found, "bytes": [len(text)]})


def main() -> int:
    """Measure what the command line names; return the exit status."""
    parser = argparse.ArgumentParser(description="Measures slopes of the books and decisions.")
    parser.add_argument("what", nargs="*", default=["decisions", "books", "bytes"])
    parser.add_argument("--machines", type=int, nargs="+", default=[650, 1300, 2600, 5200, 10400, 20000])
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    if "bytes" in options.what:
        measure_bytes()
        measure_messages()
        measure_envelope()
        measure_settings(options.seeds)
    if "decisions" in options.what:
        measure_decisions(options.machines, options.seeds)
    if "books" in options.what:
        measure_books(options.machines, options.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
