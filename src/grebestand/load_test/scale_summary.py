"""The figures of a scale run in words, and the limits of the computer that they ran into."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from . import figures
from .scale_check import ScaleVerdict
from .scale_report import SINGLE_WORKER_PROCESS

#: below this share of the rate that was asked for, the figures are those of the computer and not of the service
MIN_RATE_SHARE = 0.9
#: a helper process that used more than this share of a core may have slowed the run down
BUSY_CORE_SHARE = 0.85
#: faults that are printed one by one
MAX_PRINTED_FAULTS = 50


def find_machine_limits(found: dict[str, Any], hollow: list[str]) -> list[str]:
    """Return, in words, by what the computer and not the service has limited the run.

    Args:
        found: the figures of the run.
        hollow: the names of the processes of hollow workers.
    """
    limits = []
    rate, wanted = found["starts_per_s"]["calm"], found["plan"]["rate"]
    if found["windows"]["calm"] and rate < MIN_RATE_SHARE * wanted:
        limits.append(f"{rate:.0f} starts a second of {wanted:.0f} asked for")
    roles = found["windows"]["whole"].get("roles", {})
    limits += [
        f"{name} used up to {roles[name]['cpu_share_max']:.2f} of a core"
        for name in (*hollow, "users", "state", "meeting")
        if roles.get(name, {}).get("cpu_share_max", 0.0) > BUSY_CORE_SHARE
    ]
    late = sum(found["hollow"][name].get("late_answers", 0) for name in hollow)
    if late:
        limits.append(f"{late} answers came while their hollow process was late")
    load_average = found["machine"]["load_average"][0]
    if load_average > (os.cpu_count() or 1):
        limits.append(f"the load average is {load_average:.1f}")
    return limits


class ScaleSummary:
    """Prints the figures that matter, the limits of the computer, and the faults."""

    def __init__(self, found: dict[str, Any], say: Callable[[str], None]) -> None:
        """Prepare a summary.

        Args:
            found: the figures of the run, with `not_borne`.
            say: prints one line.
        """
        self.found = found
        self.print_line = say

    def print(self, verdict: ScaleVerdict) -> None:
        """Print everything, the faults last."""
        for name, window in self.found["windows"].items():
            if window:
                self._print_window(name, window)
        self._print_urgent()
        self._print_processes()
        for text in self.found["not_borne"]:
            self.print_line(f"not borne: {text}")
        for text in verdict.faults[:MAX_PRINTED_FAULTS]:
            self.print_line(f"wrong: {text}")
        if len(verdict.faults) > MAX_PRINTED_FAULTS:
            self.print_line(f"and {len(verdict.faults) - MAX_PRINTED_FAULTS} more")

    def _print_window(self, name: str, window: dict[str, Any]) -> None:
        answered_by = " ".join(f"{controller}: {rate:.0f}/s" for controller, rate in window["answered_by"].items())
        self.print_line(
            f"{name}, {window['seconds']:.0f} s: starts {self.found['starts_per_s'][name]:.0f}/s, "
            f"reports {window['reports_per_s']:.0f}/s, answered by {answered_by}"
        )
        for role, usage in sorted(window["roles"].items()):
            self._print_role(role, usage)
        if SINGLE_WORKER_PROCESS in window["roles"]:
            self._print_single_worker(window["roles"][SINGLE_WORKER_PROCESS])
        wait = self.found["orders_wait"][name]
        if wait["count"]:
            self.print_line(
                f"  wait for the orders: p50 {wait['p50']:.3f} p95 {wait['p95']:.3f} p99 {wait['p99']:.3f} s"
            )

    def _print_role(self, role: str, usage: dict[str, Any]) -> None:
        more = f", bytes {usage['bytes_per_s']:.0f}/s" if "bytes_per_s" in usage else ""
        more += f", writes {usage['writes_per_s']:.0f}/s" if "writes_per_s" in usage else ""
        if "reports_per_s" in usage:
            rates = " ".join(f"{status}: {rate:.0f}/s" for status, rate in usage["reports_per_s"].items())
            more += f", reports by answer {rates}"
        self.print_line(
            f"  {role}: {usage['cpu_share']:.3f} of a core (most {usage['cpu_share_max']:.2f}), "
            f"{usage['memory_mb']:.0f} MB, sockets {usage['sockets']}, "
            f"messages {usage.get('messages_per_s', 0.0):.0f}/s{more}"
        )

    def _print_single_worker(self, usage: dict[str, Any]) -> None:
        limit = figures.WORKER_LIMITS
        self.print_line(
            f"  one worker process: {100 * usage['cpu_share']:.2f}% of a core (may {limit['cpu_percent']}%), "
            f"{usage['memory_mb']:.1f} MB (may {limit['memory_mb']:.0f}), "
            f"{usage['bytes_per_s']:.0f} bytes/s (may {limit['bytes_per_s']:.0f}), "
            f"{usage['messages_per_s']:.2f} messages/s; {self.found['worker_starts']} tasks ran there in all"
        )

    def _print_urgent(self) -> None:
        for title, key in (("urgent before the first kill", "urgent_before_the_first_kill"), ("urgent", "urgent")):
            for size, wait in self.found[key]["by_size"].items():
                self.print_line(
                    f"{title}, tasks {size}: {wait['count']:.0f} jobs, p50 {wait['p50']:.2f} "
                    f"p95 {wait['p95']:.2f} p99 {wait['p99']:.2f} max {wait['max']:.2f} s"
                )
        never = self.found["urgent"]["never"]
        if never:
            self.print_line(f"{never} urgent jobs never ran whole; counted as waiting until the end")

    def _print_processes(self) -> None:
        found = self.found
        self.print_line(
            f"connections that got no answer: {found['refused'] or 'none'}; "
            f"at controllers that were killed: {found['refused_while_killed'] or 'none'}"
        )
        self.print_line(f"workers at each controller at the end: {found['workers_at']}")
        self.print_line(
            f"{found['processes']} processes took {found['memory_mb']:.0f} MB; parent {found['parent_cpu_s']:.1f} s"
        )
        self.print_line(f"leaders: {found['leaders']}; in the logs: {found['logs']}; {found['note']}")
