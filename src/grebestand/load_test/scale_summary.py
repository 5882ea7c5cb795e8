"""Prints the figures of a scale run, and detects limits of the host that distorted the figures."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from . import figures
from .scale_check import ScaleVerdict
from .scale_report import SINGLE_WORKER_PROCESS

#: below this share of the requested rate of starts, the figures show the capacity of the host, not of the controllers
MIN_RATE_SHARE = 0.9
#: a child process that used more than this share of a core may have slowed down the run
BUSY_CORE_SHARE = 0.85
#: the number of violations of the rules that are printed one by one
MAX_PRINTED_FAULTS = 50


def find_machine_limits(found: dict[str, Any], hollow: list[str]) -> list[str]:
    """Find signs that the host, and not the controllers, limited the run.

    Args:
        found: The figures of the run.
        hollow: The names of the processes of hollow workers.

    Returns:
        A description of each limit.
    """
    limits = []
    rate, wanted = found["starts_per_s"]["calm"], found["plan"]["rate"]
    if found["windows"]["calm"] and rate < MIN_RATE_SHARE * wanted:
        limits.append(f"started {rate:.0f} of {wanted:.0f} requested tasks per second")
    roles = found["windows"]["whole"].get("roles", {})
    limits += [
        f"{name} used up to {roles[name]['cpu_share_max']:.2f} of a core"
        for name in (*hollow, "users", "state", "meeting")
        if roles.get(name, {}).get("cpu_share_max", 0.0) > BUSY_CORE_SHARE
    ]
    late = sum(found["hollow"][name].get("late_answers", 0) for name in hollow)
    if late:
        limits.append(f"{late} responses to heartbeats were read too late by a busy process of hollow workers")
    load_average = found["machine"]["load_average"][0]
    if load_average > (os.cpu_count() or 1):
        limits.append(f"the load average {load_average:.1f} exceeds the number of cores")
    return limits


class ScaleSummary:
    """Prints the main figures, the limits of the host, and the violations of the rules."""

    def __init__(self, found: dict[str, Any], print_line: Callable[[str], None]) -> None:
        """Prepare a summary.

        Args:
            found: The figures of the run, including the limits of the host under the key "not_borne".
            print_line: Prints one line.
        """
        self.found = found
        self.print_line = print_line

    def print(self, verdict: ScaleVerdict) -> None:
        """Print the summary, with the violations of the rules at the end."""
        for name, window in self.found["windows"].items():
            if window:
                self._print_window(name, window)
        self._print_urgent()
        self._print_processes()
        for text in self.found["not_borne"]:
            self.print_line(f"limited by the host: {text}")
        for text in verdict.faults[:MAX_PRINTED_FAULTS]:
            self.print_line(f"violation: {text}")
        if len(verdict.faults) > MAX_PRINTED_FAULTS:
            self.print_line(f"and {len(verdict.faults) - MAX_PRINTED_FAULTS} more violations")

    def _print_window(self, name: str, window: dict[str, Any]) -> None:
        answered_by = " ".join(f"{controller}: {rate:.0f}/s" for controller, rate in window["answered_by"].items())
        self.print_line(
            f"{name}, {window['seconds']:.0f} s: starts {self.found['starts_per_s'][name]:.0f}/s, "
            f"heartbeats {window['reports_per_s']:.0f}/s, answered by {answered_by}"
        )
        for role, usage in sorted(window["roles"].items()):
            self._print_role(role, usage)
        if SINGLE_WORKER_PROCESS in window["roles"]:
            self._print_single_worker(window["roles"][SINGLE_WORKER_PROCESS])
        wait = self.found["orders_wait"][name]
        if wait["count"]:
            self.print_line(
                f"  responses to heartbeats: p50 {wait['p50']:.3f} p95 {wait['p95']:.3f} p99 {wait['p99']:.3f} s"
            )

    def _print_role(self, role: str, usage: dict[str, Any]) -> None:
        more = f", bytes {usage['bytes_per_s']:.0f}/s" if "bytes_per_s" in usage else ""
        more += f", writes {usage['writes_per_s']:.0f}/s" if "writes_per_s" in usage else ""
        if "reports_per_s" in usage:
            rates = " ".join(f"{status}: {rate:.0f}/s" for status, rate in usage["reports_per_s"].items())
            more += f", heartbeats by status {rates}"
        self.print_line(
            f"  {role}: {usage['cpu_share']:.3f} of a core (peak {usage['cpu_share_max']:.2f}), "
            f"{usage['memory_mb']:.0f} MB, sockets {usage['sockets']}, "
            f"messages {usage.get('messages_per_s', 0.0):.0f}/s{more}"
        )

    def _print_single_worker(self, usage: dict[str, Any]) -> None:
        limit = figures.WORKER_LIMITS
        self.print_line(
            f"  one worker process: {100 * usage['cpu_share']:.2f}% of a core (limit {limit['cpu_percent']}%), "
            f"{usage['memory_mb']:.1f} MB (limit {limit['memory_mb']:.0f}), "
            f"{usage['bytes_per_s']:.0f} bytes/s (limit {limit['bytes_per_s']:.0f}), "
            f"{usage['messages_per_s']:.2f} messages/s; {self.found['worker_starts']} tasks ran on its machine"
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
            self.print_line(f"{never} urgent jobs never had all tasks running; counted as waiting until the end")

    def _print_processes(self) -> None:
        found = self.found
        self.print_line(
            f"new connections without a response: {found['refused'] or 'none'}; "
            f"to killed controllers: {found['refused_while_killed'] or 'none'}"
        )
        self.print_line(f"workers at each controller at the end: {found['workers_at']}")
        self.print_line(
            f"{found['processes']} processes used {found['memory_mb']:.0f} MB; "
            f"CPU time of the parent {found['parent_cpu_s']:.1f} s"
        )
        self.print_line(f"leaders: {found['leaders']}; messages in the logs: {found['logs']}; {found['note']}")
