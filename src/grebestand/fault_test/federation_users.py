"""Simulated users of a federation fault test: each submits one gang, may cancel the gang, and polls for its end."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
import msgspec

from ..clients.http import HttpTransport, UnreachableError
from ..emulators.controller_processes import SiteControllers
from ..emulators.task_execution import TaskEvent
from ..wire.jobs import JobStatusResponse
from .federation_plan import CLASS_PREFIX, Gang
from .history import History

REQUEST_TIMEOUT_S = 4.0
SUBMIT_RETRY_S = 1.0
#: Pause before each poll or cancellation request, in seconds.
POLL_INTERVAL_S = 0.5
#: Additional pause after a poll, in seconds.
AFTER_POLL_S = 0.3
#: Additional pause after a cancellation request, in seconds.
AFTER_CANCELLATION_S = 1.0
#: Shortest and longest time from the acceptance of a gang to its cancellation by the user, in seconds.
CANCEL_AFTER_S = (1.0, 12.0)
#: Number of different container images that the gangs use.
IMAGES = 5


class FederationUsers:
    """The simulated users of all clusters."""

    def __init__(
        self,
        controllers: dict[str, SiteControllers],
        history: History,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the users.

        Args:
            controllers: Controllers of each cluster, by the cluster's name.
            history: Receives the submissions of users and the responses to them.
            clock: Clock of the history, in seconds.
            rng: Source of the random choice of controllers and cancellation times.
        """
        self.controllers = controllers
        self.history = history
        self.clock = clock
        self.rng = rng
        self.stopped = False

    def run(self, gang: Gang, begin: float) -> None:
        """Act as the user of one gang until the gang has a final state or the run has stopped.

        Args:
            gang: The gang to submit; its fields record the responses.
            begin: Beginning of the run on the clock, in seconds.
        """
        gevent.sleep(max(0.0, begin + gang.submit_after_s - self.clock()))
        self._submit(gang)
        if gang.to_cancel and gang.cancel_at is None:
            gang.cancel_at = self.clock() + self.rng.uniform(*CANCEL_AFTER_S)
        while not self.stopped and not gang.final_state:
            gevent.sleep(POLL_INTERVAL_S)
            self._poll_or_cancel(gang)

    def _submit(self, gang: Gang) -> None:
        body = msgspec.json.encode(_job_description(gang))
        self._record(gang, "asked")
        first_request_at = self.clock()
        while not self.stopped and gang.first_request_at is None:
            status, _ = self._request(gang.home, "POST", "/v2/runs", body)
            if status in (200, 201):
                gang.first_request_at = first_request_at
                self._record(gang, "accepted")
            else:
                gevent.sleep(SUBMIT_RETRY_S)

    def _poll_or_cancel(self, gang: Gang) -> None:
        if gang.cancel_at is not None and self.clock() >= gang.cancel_at:
            status, response = self._request(gang.home, "POST", f"/v2/runs/{gang.job_id}/abort")
            pause_s = AFTER_CANCELLATION_S
        else:
            status, response = self._request(gang.home, "GET", f"/v2/runs/{gang.job_id}")
            pause_s = AFTER_POLL_S
        if status == 200:
            state = msgspec.json.decode(response, type=JobStatusResponse).state.value
            if state in ("done", "cancelled"):
                gang.final_state, gang.final_state_at = state, self.clock()
                self._record(gang, state)
        gevent.sleep(pause_s)

    def _request(self, home: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Send one request to a random controller of a cluster.

        Returns:
            The HTTP status and the body of the response; status 0 and no body if the controller did not respond.
        """
        host, _, port = self.rng.choice(list(self.controllers[home].addresses.values())).rpartition(":")
        transport = HttpTransport(host, int(port), 1)
        try:
            return transport.request(method, path, body, REQUEST_TIMEOUT_S)
        except UnreachableError:
            return 0, b""
        finally:
            transport.close()

    def _record(self, gang: Gang, what: str) -> None:
        self.history.append(TaskEvent(self.clock(), gang.home, what, gang.job_class, gang.job_id, tasks=gang.tasks))


def _job_description(gang: Gang) -> dict[str, object]:
    """Return the fields of a gang's job submission, under the names of the wire protocol."""
    image = f"img-{int(gang.job_class.removeprefix(CLASS_PREFIX)) % IMAGES}"
    return {
        "ref": gang.job_id, "lane": gang.job_class, "crew": "crew", "shape": "ensemble", "rank": "standard",
        "shards": gang.tasks, "cpus": 15.0, "cards": 0.0, "ramGb": 8.0, "cargo": image,
        "pullGb": 1.0, "samePlace": False, "scatter": False, "driftwood": True, "reckonS": gang.run_time_s,
        "markS": 0.0, "stowS": 0.0,
    }  # fmt: skip
