"""`grebestand up`: a demonstration cluster on loopback with emulators of the state service, cloud and workers."""

from __future__ import annotations

import argparse
import os
import signal
import sys
import tempfile
from pathlib import Path

import gevent

from ..wire.cloud import MachineType

#: Worker parameters of the demonstration cluster, in seconds.
WORKERS = {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 3.0, "cancel_s": 25.0}
#: The only team of the demonstration cluster, as a part of the settings file.
TEAMS = '[[params.teams]]\nname = "demo"\ncpus = 32.0\ncpus_max = 128.0\n'
#: Longest wait for a controller to become the leader.
READY_TIMEOUT_S = 30.0
#: Job submission that is printed for the user to copy.
EXAMPLE_JOB = (
    '{"ref":"j-000001","lane":"example","crew":"demo","shape":"array","rank":"standard","shards":3,"cpus":2,"cards":0,'
    '"ramGb":1,"cargo":"img","pullGb":1,"samePlace":false,"scatter":false,"driftwood":true,"reckonS":3,"markS":0,"stowS":0}'
)


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand `up` to the command line."""
    parser = commands.add_parser(
        "up", help="run a small cluster on this machine, with emulated state service, cloud and workers",
        description="Starts controllers and simulated machines on loopback, prints the controllers' addresses, and "
        "stops all of them on Ctrl-C. No data is kept afterwards, and tasks only wait for their run time.",
    )  # fmt: skip
    parser.add_argument("--controllers", type=int, choices=(1, 3), default=1, help="number of controllers (default 1)")
    parser.add_argument(
        "--machines", type=int, default=4, metavar="N", help="simulated machines of 16 CPUs (default 4)"
    )
    parser.add_argument("--seconds", type=float, metavar="S", help="stop after S seconds")


def run(arguments: argparse.Namespace) -> int:
    """Run a small cluster until it is interrupted; return the exit status."""
    if not 1 <= arguments.machines <= 200:
        print("grebestand: up: --machines must be 1 to 200", file=sys.stderr)
        return 2
    from ..emulators.controller_processes import SiteControllers
    from ..emulators.site import EmulatedSite

    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, _stop)
    with tempfile.TemporaryDirectory(prefix="grebestand-") as directory:
        types = [MachineType("m16", 16.0, 0.0, 64.0, ["a"], 100.0, 1.0, 1.0, 0.4, 3.0)]
        site = EmulatedSite("up", types, WORKERS, lambda row: None, os.getpid())
        workers = "[params.workers]\n" + "".join(f"{k} = {v}\n" for k, v in WORKERS.items())
        limits = "[params.state]\nrps = 1000.0\nwrite_rps = 200.0\nvalue_kb = 4.0\ntxn_ops = 12\n"
        params = f'zones = ["a"]\n{TEAMS}{workers}{limits}[params.cloud]\nrps = 50.0\nlist_lag_s = 2.0\n'
        policy = "rent = false\nidle_return_s = 1000000\nhold_s = 4\n"
        controllers = SiteControllers(site, arguments.controllers, Path(directory), params, policy)
        try:
            for _ in range(arguments.machines):
                site.add_machine("m16", "a")
            controllers.start_all()
            if not controllers.wait_until_ready(READY_TIMEOUT_S):
                print(
                    f"grebestand: up: no controller became the leader within {READY_TIMEOUT_S:g} s: "
                    f"{controllers.last_log_lines()}",
                    file=sys.stderr,
                )
                return 1
            for name, address in controllers.addresses.items():
                print(f"{name}  http://{address}")
            address = next(iter(controllers.addresses.values()))
            print(f"{arguments.machines} simulated machines of 16 CPUs are up. To submit a job and query its status:\n")
            print(f"  curl -d '{EXAMPLE_JOB}' http://{address}/v2/runs")
            print(f"  curl http://{address}/v2/runs/j-000001\n\nCtrl-C stops the cluster.", flush=True)
            gevent.sleep(arguments.seconds if arguments.seconds is not None else 1e9)
            return 0
        except (KeyboardInterrupt, _StoppedBySignal):
            print("\nstopped")
            return 0
        finally:
            controllers.stop()


class _StoppedBySignal(BaseException):
    """Raised in the main greenlet by the first SIGINT or SIGTERM."""


_main = gevent.getcurrent()
#: Not empty once a signal has been handled.
_signals_handled: list[bool] = []


def _stop() -> None:
    """Stop the cluster on the first signal only, as a second one must not interrupt the shutdown."""
    if not _signals_handled:
        _signals_handled.append(True)
        gevent.kill(_main, _StoppedBySignal)
