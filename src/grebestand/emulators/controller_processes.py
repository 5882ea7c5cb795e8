"""Real controller processes on loopback: started, restarted, killed, paused and stopped."""

from __future__ import annotations

import os
import resource
import signal
import sys
from pathlib import Path

import gevent
from gevent import socket, subprocess

from .site import HOST, EmulatedSite

#: how long a controller may take to end after SIGTERM, in seconds, before it is killed
TERMINATION_TIMEOUT_S = 3.0
READY_POLL_S = 0.1


def free_port() -> int:
    """Return a port of loopback that is not in use at the moment."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class ControllerProcesses:
    """The controller processes of one cluster.

    Attributes:
        root: The directory of settings and logs.
        names: The names of the controllers.
        max_open_files: The limit of open files of each controller; that of this process if None.
        addresses: By name, the address at which a controller serves users and workers.
        features: The files of features that controllers are started with.
    """

    def __init__(
        self,
        names: dict[str, str],
        service_addresses: dict[str, str],
        root: Path,
        params: str,
        policy: str,
        max_open_files: int | None = None,
    ) -> None:
        """Write the settings of all controllers.

        Args:
            names: The zone of each controller by its name.
            service_addresses: The addresses of `cloud` and `state`.
            root: The directory of settings and logs, which is created.
            params: The part of the settings without names and addresses.
            policy: The text of the policy file.
            max_open_files: The limit of open files of each controller; that of this process if not given.
        """
        self.root = root
        root.mkdir(parents=True, exist_ok=True)
        self.names = list(names)
        self.max_open_files = max_open_files
        self.addresses = {n: f"{HOST}:{free_port()}" for n in self.names}
        peers = {n: f"{HOST}:{free_port()}" for n in self.names}
        self.features: list[Path] = []
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        (root / "policy.toml").write_text(policy)
        for name in self.names:
            (root / f"{name}.toml").write_text(self._settings(name, names, peers, service_addresses, params))

    def _settings(
        self, name: str, zones: dict[str, str], peers: dict[str, str], service_addresses: dict[str, str], params: str
    ) -> str:
        """Return the text of a controller's settings file."""
        known = "".join(
            f'[[known]]\nhost_name = "{other}"\narea = "{zones[other]}"\naddress = "{peers[other]}"\n'
            for other in self.names
            if other != name
        )
        return (
            f'host_name = "{name}"\narea = "{zones[name]}"\nserve_on = "{self.addresses[name]}"\n'
            f'peer_listen = "{peers[name]}"\n{known}[outside]\ncloud = "{service_addresses["cloud"]}"\n'
            f'state = "{service_addresses["state"]}"\n[params]\ncount = {len(zones)}\n{params}'
        )

    def start(self, name: str) -> None:
        """Start a controller's process, unless it is running."""
        if self.is_running(name):
            return
        command = [sys.executable, "-m", "grebestand", "serve", "--config", str(self.root / f"{name}.toml")]
        command += ["--policy", str(self.root / "policy.toml")]
        for file in self.features:
            command += ["--with", str(file)]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
        # In a new session, so that an interrupt at the terminal reaches only this process, which stops the controllers.
        with open(self.root / f"{name}.log", "ab") as out:
            self._running[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=out, stderr=out, env=environment, start_new_session=True
            )
        if self.max_open_files is not None:
            limits = (self.max_open_files, self.max_open_files)
            resource.prlimit(self._running[name].pid, resource.RLIMIT_NOFILE, limits)

    def pid(self, name: str) -> int | None:
        """Return the process id of a controller, or None if it is not running."""
        return self._running[name].pid if self.is_running(name) else None

    def start_all(self) -> None:
        """Start every controller that is not running."""
        for name in self.names:
            self.start(name)

    def is_running(self, name: str) -> bool:
        """Whether a controller's process is running."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def kill(self, name: str) -> None:
        """Kill a controller with SIGKILL, so that it can't release its leader lease."""
        process = self._running.get(name)
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()

    def pause(self, name: str, seconds: float) -> None:
        """Pause a controller with SIGSTOP for some seconds in the background."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return

        def stop_and_continue() -> None:
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(seconds)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

        gevent.spawn(stop_and_continue)

    def last_log_lines(self) -> str:
        """Return the last line of each controller's log, in one line with the controllers' names."""
        lines = []
        for name in self.names:
            file = self.root / f"{name}.log"
            text = file.read_text("utf-8", "replace").strip() if file.exists() else ""
            lines.append(f"{name}: {text.splitlines()[-1] if text else 'nothing in its log'}")
        return "; ".join(lines)

    def stop(self) -> None:
        """Stop all controllers that were started here; those that don't end in time are killed."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self._running.values():
            try:
                process.wait(timeout=TERMINATION_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class SiteControllers(ControllerProcesses):
    """The controllers of one emulated site, which its workers send heartbeats to."""

    def __init__(self, site: EmulatedSite, count: int, root: Path, params: str, policy: str) -> None:
        names = {f"{site.name}-{i}": "a" for i in range(count)}
        service_addresses = {"cloud": site.cloud_address, "state": site.store.address}
        super().__init__(names, service_addresses, root, params, policy)
        self.site = site
        site.controller_addresses = dict(self.addresses)

    def leader(self) -> str | None:
        """Return the controller that holds the leader key in the key-value store, or None."""
        found = self.site.store.store.data.get("leader")
        return str(found[0]["name"]) if found is not None else None

    def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until a controller leads and a worker has received a leader token.

        Args:
            timeout_s: The longest wait, in seconds.

        Returns:
            Whether the condition was met in time; False at once if no controller runs.
        """
        end = self.site.clock() + timeout_s
        while self.site.clock() < end:
            workers = self.site.task_execution.workers.values()
            if self.leader() is not None and any(worker.token for worker in workers):
                return True
            if not any(self.is_running(name) for name in self.names):
                return False
            gevent.sleep(READY_POLL_S)
        return False
