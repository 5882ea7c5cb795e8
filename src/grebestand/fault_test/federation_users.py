"""The users of a federation fault test: each submits one gang, may cancel it, and polls it until it is over."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
import msgspec

from ..clients.http import HttpTransport, UnreachableError
from ..emulators.controller_processes import SiteControllers
from ..emulators.task_execution import TaskEvent
from ..wire.jobs import JobStatusResponse
from .federation_plan import Gang
from .history import History

REQUEST_TIMEOUT_S = 4.0
SUBMIT_RETRY_S = 1.0
#: between two polls, and additionally after a poll and after a cancellation, in seconds
POLL_INTERVAL_S = 0.5
AFTER_POLL_S = 0.3
AFTER_CANCELLATION_S = 1.0
#: a user who cancels a gang does so this long after it was accepted, in seconds
CANCEL_AFTER_S = (1.0, 12.0)
IMAGES = 5


class FederationUsers:
    """Users of all clusters."""

    def __init__(
        self,
        controllers: dict[str, SiteControllers],
        history: History,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Prepare users.

        Args:
            controllers: the controllers of each cluster.
            history: gets what users ask and what they are answered.
            clock: the clock of the history, in seconds.
            rng: what controllers and times are drawn from.
        """
        self.controllers = controllers
        self.history = history
        self.clock = clock
        self.rng = rng
        self.ended = False

    def play(self, gang: Gang, begin: float) -> None:
        """Play the user of one gang until it is over or the run has ended."""
        gevent.sleep(max(0.0, begin + gang.at - self.clock()))
        self._submit(gang)
        if gang.abort and gang.abort_at is None:
            gang.abort_at = self.clock() + self.rng.uniform(*CANCEL_AFTER_S)
        while not self.ended and not gang.final:
            gevent.sleep(POLL_INTERVAL_S)
            self._poll_or_cancel(gang)

    def _submit(self, gang: Gang) -> None:
        body = msgspec.json.encode(_job_description(gang))
        self._record(gang, "asked")
        asked_at = self.clock()
        while not self.ended and gang.accepted_at is None:
            status, _ = self._request(gang.home, "POST", "/v2/runs", body)
            if status in (200, 201):
                gang.accepted_at = asked_at
                self._record(gang, "accepted")
            else:
                gevent.sleep(SUBMIT_RETRY_S)

    def _poll_or_cancel(self, gang: Gang) -> None:
        if gang.abort_at is not None and self.clock() >= gang.abort_at:
            status, answer = self._request(gang.home, "POST", f"/v2/runs/{gang.ref}/abort")
            pause_s = AFTER_CANCELLATION_S
        else:
            status, answer = self._request(gang.home, "GET", f"/v2/runs/{gang.ref}")
            pause_s = AFTER_POLL_S
        if status == 200:
            state = msgspec.json.decode(answer, type=JobStatusResponse).state.value
            if state in ("done", "cancelled"):
                gang.final, gang.final_at = state, self.clock()
                self._record(gang, state)
        gevent.sleep(pause_s)

    def _request(self, home: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Send one request to any controller of a cluster; return status 0 if it does not answer."""
        host, _, port = self.rng.choice(list(self.controllers[home].addresses.values())).rpartition(":")
        transport = HttpTransport(host, int(port), 1)
        try:
            return transport.request(method, path, body, REQUEST_TIMEOUT_S)
        except UnreachableError:
            return 0, b""
        finally:
            transport.close()

    def _record(self, gang: Gang, what: str) -> None:
        self.history.tell(TaskEvent(self.clock(), gang.home, what, gang.klass, gang.ref, tasks=gang.tasks))


def _job_description(gang: Gang) -> dict[str, object]:
    """Return a gang's job as its user sends it, by the names of the wire."""
    return {
        "ref": gang.ref, "lane": gang.klass, "crew": "crew", "shape": "ensemble", "rank": "standard",
        "shards": gang.tasks, "cpus": 15.0, "cards": 0.0, "ramGb": 8.0, "cargo": f"img-{int(gang.klass[5:]) % IMAGES}",
        "pullGb": 1.0, "samePlace": False, "scatter": False, "driftwood": True, "reckonS": gang.run_s, "markS": 0.0,
        "stowS": 0.0,
    }  # fmt: skip
