"""A process of hollow workers: its workers, their line to the gang rendezvous, and what is recorded of their tasks."""

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

#: leases are checked this often, in seconds; what is later than its lease counts as ended with it
LEASE_CHECK_INTERVAL_S = 0.1
#: recorded times differ by this at least, in seconds, so that they have an order
MIN_TIME_STEP_S = 1e-6


class HollowProcess:
    """The workers of one process."""

    def __init__(self, plan: HollowPlan, ended: Callable[[], None]) -> None:
        """Connect to the gang rendezvous and have the cloud list the machines.

        Args:
            plan: the machines, and what surrounds them.
            ended: called when the rendezvous is gone.
        """
        self.plan = plan
        self.clock: Callable[[], float] = time.monotonic
        self._last_time = 0.0
        self.rng = random.Random(plan.seed)
        #: of each controller, heartbeats and their responses
        self.heartbeat_traffic = {name: Traffic() for name in plan.controllers}
        #: direct commands and their responses
        self.direct_traffic = Traffic()
        self.rows: list[TaskRow] = []
        self.unserved: list[UnservedRequest] = []
        #: arrays, as there is a pair of numbers for each answered heartbeat
        self.sent_at, self.waits = array("d"), array("d")
        #: of each controller, how heartbeats were answered: by status, or by the kind of failure
        self.response_counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        #: responses that were dropped, as they came from an old leader or for an old epoch
        self.dropped_responses = 0
        #: responses that came in time while this process was too late to read them
        self.late_responses = 0
        #: leases that have expired
        self.expired_leases = 0
        #: requests to the workers' own addresses
        self.direct_requests = 0
        self._specs: dict[str, JobSpec] = {}
        #: by job, index and attempt, who waits for the description of the job
        self._awaited: dict[tuple[str, int, int], list[DescriptionHandler]] = {}
        #: by job and attempt, the members of a gang in this process
        self._gangs: dict[tuple[str, int], list[tuple[HollowWorker, HollowTask]]] = defaultdict(list)
        self.channel: MessageChannel = connect(plan.meeting, self._handle, ended)
        self.workers = {name: HollowWorker(self, name, host, zone) for name, host, zone in plan.machines}
        for worker in self.workers.values():
            self.channel.send("machine", worker.name, worker.addr, plan.type, worker.zone)

    def next_time(self) -> float:
        """Return the time, later than all times before, so that what follows from a row is recorded after it."""
        self._last_time = max(self.clock(), self._last_time + MIN_TIME_STEP_S)
        return self._last_time

    def start(self) -> None:
        """Start the heartbeats of all workers."""
        for worker in self.workers.values():
            worker.lease_started_at = self.clock()
            gevent.spawn(worker.send_heartbeats)
        gevent.spawn(self._check_leases)

    def _check_leases(self) -> None:
        while True:
            gevent.sleep(LEASE_CHECK_INTERVAL_S)
            for worker in self.workers.values():
                worker.expire_lease()

    # the rendezvous ---------------------------------------------------------------------------------------

    def request_description(self, job: str, index: int, attempt: int, handler: DescriptionHandler) -> None:
        """Have a handler called with the description of a job.

        The first attempt of a known job is described at once; an earlier attempt of any other may have a result.
        """
        spec = self._specs.get(job)
        if spec is not None and attempt == 1:
            handler(spec, False)
            return
        handlers = self._awaited.setdefault((job, index, attempt), [])
        if not handlers:
            self.channel.send("want", job, index, attempt)
        handlers.append(handler)

    def join_gang(self, worker: HollowWorker, held: HollowTask) -> None:
        """Have a member of a gang wait for the others."""
        spec = held.spec
        assert spec is not None
        self._gangs[held.job, held.status.attempt].append((worker, held))
        self.channel.send("wait", held.job, held.status.attempt, held.index, spec.tasks, spec.estimate_s)

    def leave_gang(self, held: HollowTask) -> None:
        """Tell the rendezvous that a member of a gang is gone."""
        self.channel.send("gone", held.job, held.status.attempt, held.index)

    def _handle(self, message: Message) -> None:
        what, *rest = message
        if what == "job":
            self._job_described(*rest)
        elif what == "run":
            for worker, held in self._gangs[rest[0], rest[1]]:
                worker.gang_started(held)
        elif what == "over":
            for worker, held in self._gangs.pop((rest[0], rest[1]), ()):
                worker.finish(held, ExitReason.DONE)
        elif what == "gone":
            for worker, held in self._gangs.pop((rest[0], rest[1]), ()):
                gevent.spawn_later(self.plan.gang_peer_s, worker.finish, held, ExitReason.PEERS)
        elif what == "lose":
            for name in rest[0]:
                if (deleted := self.workers.pop(name, None)) is not None:
                    deleted.machine_deleted()
        else:
            raise ValueError(f"unknown message {what!r}")

    def _job_described(self, job: str, index: int, attempt: int, raw: object, has_result: bool) -> None:
        spec = None if raw is None else self._specs.setdefault(job, msgspec.convert(raw, JobSpec))
        for handler in self._awaited.pop((job, index, attempt), ()):
            handler(spec, has_result)

    # what was recorded ------------------------------------------------------------------------------------

    def counts(self) -> dict[str, Any]:
        """Return the counters of all workers of this process so far; their names are part of the JSON figures."""
        workers = self.workers.values()
        traffic = [*self.heartbeat_traffic.values(), self.direct_traffic]
        return {
            "workers": len(workers),
            "answered": sum(worker.token > 0 for worker in workers),
            "running": sum(h.status.state is TaskPhase.RUNNING for worker in workers for h in worker.tasks.values()),
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
        """Return what ran where and when, for the checker."""
        return HollowRecords(self.rows, self.unserved, list(self.sent_at), list(self.waits))
