"""A process of hollow workers: the workers, their channel to the gang rendezvous, and the records of their tasks."""

from __future__ import annotations

import random
import time
from array import array
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from ..wire.jobs import JobSpec
from ..wire.workers import ExitReason, TaskPhase
from .connection import Traffic
from .gang_rendezvous import Message, MessageChannel, connect
from .hollow_worker import DescriptionHandler, HollowTask, HollowWorker
from .records import HollowPlan, HollowRecords, TaskRow, UnservedRequest

#: the interval between checks of leases; the ends of tasks found late are recorded as at the end of the lease
LEASE_CHECK_INTERVAL_S = 0.1
#: the least difference of recorded times, so that the order of the times is that of the events
MIN_TIME_STEP_S = 1e-6


class HollowProcess:
    """All hollow workers of one process, and the records and counters that they share."""

    def __init__(self, plan: HollowPlan, on_disconnect: Callable[[], None]) -> None:
        """Connect to the gang rendezvous, and register the machines with the cloud emulator.

        Args:
            plan: The machines, the addresses of other processes, and the workers' settings.
            on_disconnect: Called when the rendezvous has closed the connection.
        """
        self.plan = plan
        self.clock: Callable[[], float] = time.monotonic
        self._last_time = 0.0
        self.rng = random.Random(plan.seed)
        #: by controller, the traffic of heartbeats and their responses
        self.heartbeat_traffic = {name: Traffic() for name in plan.controllers}
        #: the traffic of direct commands and their responses
        self.direct_traffic = Traffic()
        #: the events of tasks
        self.rows: list[TaskRow] = []
        #: new connections whose first request got no response
        self.unserved: list[UnservedRequest] = []
        #: when each answered heartbeat was sent, and the time until its response, in seconds; arrays rather than
        #: lists because they grow with each answered heartbeat
        self.sent_at, self.waits = array("d"), array("d")
        #: by controller, the number of heartbeats by the status of their response or the kind of failure
        self.response_counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        #: responses that were dropped because they came from an earlier leader or belonged to an earlier epoch
        self.dropped_responses = 0
        #: responses that count as timed out because this process was too busy to read them in time
        self.late_responses = 0
        #: the number of leases that have expired
        self.expired_leases = 0
        #: the number of requests to the workers' own addresses
        self.direct_requests = 0
        self._specs: dict[str, JobSpec] = {}
        #: by job, index and attempt, the handlers that wait for the description of the job
        self._awaited: dict[tuple[str, int, int], list[DescriptionHandler]] = {}
        #: by job and attempt, the members of a gang that are in this process
        self._gangs: dict[tuple[str, int], list[tuple[HollowWorker, HollowTask]]] = defaultdict(list)
        self.channel: MessageChannel = connect(plan.meeting, self._handle, on_disconnect)
        self.workers = {name: HollowWorker(self, name, host, zone) for name, host, zone in plan.machines}
        for worker in self.workers.values():
            self.channel.send("machine", worker.name, worker.addr, plan.type, worker.zone)

    def next_time(self) -> float:
        """Return the current time in seconds, later than any time returned before.

        Distinct times keep the events of tasks in the order of cause and effect when the records are sorted.
        """
        self._last_time = max(self.clock(), self._last_time + MIN_TIME_STEP_S)
        return self._last_time

    def start(self) -> None:
        """Start the heartbeats of all workers."""
        for worker in self.workers.values():
            worker.lease_started_at = self.clock()
            gevent.spawn(worker.send_heartbeats)
        gevent.spawn(self._check_leases)

    def _check_leases(self) -> None:
        """Expire the leases of all workers periodically."""
        while True:
            gevent.sleep(LEASE_CHECK_INTERVAL_S)
            for worker in self.workers.values():
                worker.expire_lease()

    # messages of the rendezvous ---------------------------------------------------------------------------

    def request_description(self, job: str, index: int, attempt: int, handler: DescriptionHandler) -> None:
        """Call a handler with the description of a job, as soon as the description is known.

        A first attempt of a job with a known description needs no request to the rendezvous. For any later attempt,
        the rendezvous has to tell whether an earlier attempt has completed the task.

        Args:
            job: The id of the job.
            index: The index of the task in the job.
            attempt: The number of the attempt, from 1.
            handler: Receives the description, and whether an earlier attempt has completed the task.
        """
        spec = self._specs.get(job)
        if spec is not None and attempt == 1:
            handler(spec, False)
            return
        handlers = self._awaited.setdefault((job, index, attempt), [])
        if not handlers:
            self.channel.send("want", job, index, attempt)
        handlers.append(handler)

    def join_gang(self, worker: HollowWorker, task: HollowTask) -> None:
        """Register a member of a gang with the rendezvous as waiting for the other members."""
        spec = task.spec
        assert spec is not None
        self._gangs[task.job, task.status.attempt].append((worker, task))
        self.channel.send("wait", task.job, task.status.attempt, task.index, spec.tasks, spec.estimate_s)

    def leave_gang(self, task: HollowTask) -> None:
        """Notify the rendezvous that a member of a gang has ended."""
        self.channel.send("gone", task.job, task.status.attempt, task.index)

    def _handle(self, message: Message) -> None:
        what, *rest = message
        if what == "job":
            self._job_described(*rest)
        elif what == "run":
            for worker, task in self._gangs[rest[0], rest[1]]:
                worker.gang_started(task)
        elif what == "over":
            for worker, task in self._gangs.pop((rest[0], rest[1]), ()):
                worker.finish(task, ExitReason.DONE)
        elif what == "gone":
            for worker, task in self._gangs.pop((rest[0], rest[1]), ()):
                gevent.spawn_later(self.plan.gang_peer_s, worker.finish, task, ExitReason.PEERS)
        elif what == "lose":
            for name in rest[0]:
                if (deleted := self.workers.pop(name, None)) is not None:
                    deleted.machine_deleted()
        else:
            raise ValueError(f"unknown message from the gang rendezvous: {what!r}")

    def _job_described(self, job: str, index: int, attempt: int, raw: object, has_result: bool) -> None:
        """Pass the description of a job, or None for an unknown job, to the handlers that wait for it."""
        spec = None if raw is None else self._specs.setdefault(job, msgspec.convert(raw, JobSpec))
        for handler in self._awaited.pop((job, index, attempt), ()):
            handler(spec, has_result)

    # records ----------------------------------------------------------------------------------------------

    def counts(self) -> dict[str, Any]:
        """Return the counters of all workers of this process; the JSON report contains them under their names."""
        workers = self.workers.values()
        traffic = [*self.heartbeat_traffic.values(), self.direct_traffic]
        return {
            "workers": len(workers),
            "answered": sum(worker.token > 0 for worker in workers),
            "running": sum(t.status.state is TaskPhase.RUNNING for worker in workers for t in worker.tasks.values()),
            "answers": self.response_counts,
            "dropped": self.dropped_responses,
            "late_answers": self.late_responses,
            "lapsed": self.expired_leases,
            "direct": self.direct_requests,
            "sent": sum(counter.sent for counter in traffic),
            "received": sum(counter.received for counter in traffic),
            "messages": sum(counter.messages for counter in traffic),
            "bytes_at": {name: t.sent + t.received for name, t in self.heartbeat_traffic.items()},
            "unreadable": self.direct_traffic.unreadable,
            "unserved": len(self.unserved),
            "at": {name: sum(worker.controller == name for worker in workers) for name in self.plan.controllers},
        }

    def records(self) -> HollowRecords:
        """Return the records of all workers of this process, for `scale_check` and the report."""
        return HollowRecords(self.rows, self.unserved, list(self.sent_at), list(self.waits))
