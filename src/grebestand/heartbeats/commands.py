"""What a worker is told in answer to its report, and directly."""

from __future__ import annotations

from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from ..metrics.duration_sketches import DurationSketches
from ..state_machines import AllocationState, JobState, MachineState
from ..wire.jobs import MalformedError, split_task
from ..wire.workers import Command, ExitReason, Heartbeat, TaskPhase, TaskStatus

#: a response line and a report body hold 64 KiB; this keeps both well below
MOST_COMMANDS = 300


class CommandBuilder:
    def __init__(self, registry: JobRegistry, sketches: DurationSketches) -> None:
        self.registry = registry
        self.sketches = sketches

    def commands(self, m: Machine, r: Heartbeat, now: float, starts: bool = True) -> list[Command]:
        """What the worker is told. Starts ride on check-in responses only, and only to recorded machines.

        Without `starts` nothing begins now; what is queued waits for the next report.
        """
        out = self.unwanted(r, m)
        stopped = {(c.task, c.attempt) for c in out}
        forgets: list[Command] = []
        for status in r.tasks:
            if status.state is not TaskPhase.EXITED:
                continue
            try:
                ident, index = split_task(status.task)
            except MalformedError:
                continue
            if self._may_forget(self.registry.jobs.get(ident), index, status):
                forgets.append(Command("forget", status.task, status.attempt))
        for allocation in m.allocations.values() if m.leaving else ():
            if allocation.stop is not None:
                # a repeat with the same grace changes nothing; only a grace of 0 cuts a save short
                if (allocation.name, allocation.attempt) not in stopped:
                    out.append(Command("stop", allocation.name, allocation.attempt, allocation.grace))
                allocation.stop_sent_at = now
        # stops first, as this answer renews the lease of what they are for; what is forgotten may start again
        out = (out + forgets)[:MOST_COMMANDS]
        for allocation in m.allocations.values() if starts and m.state is MachineState.READY and m.recorded else ():
            if len(out) >= MOST_COMMANDS:
                break
            if allocation.stop is not None:
                continue
            if allocation.state is AllocationState.QUEUED or (
                allocation.state is AllocationState.SENT and allocation.sent_sequence < 0
            ):
                if not allocation.job.covers(allocation):
                    continue  # a later leader would not know where to look for it
                if allocation.held and self._gang_fetches(allocation.job):
                    continue
                self.registry.move_allocation(allocation, AllocationState.SENT, now)
                allocation.epoch = allocation.sent_epoch = r.epoch
                allocation.sent_sequence = r.sequence
                allocation.told_at = now
                job = allocation.job
                self.sketches.add("room to start", now - max(m.freed_at, job.accepted_at))
                self.sketches.add("decision to start", now - allocation.made_at)
                if job.stages is not None:
                    job.stages.sent = now
                out.append(Command("start", allocation.name, allocation.attempt))
        return out

    def unwanted(self, r: Heartbeat, m: Machine | None = None) -> list[Command]:
        """Stops of what a worker lists and must not go on with.

        Of jobs that are over: true whenever the report was written, since whatever an earlier leader may have started
        was live when this one read the records, or is over. Of a machine that is as its report says (`m`), also second
        copies and other attempts: all that is not in its books as it is there.
        """
        stops = []
        for status in r.tasks:
            if status.state is TaskPhase.EXITED:
                continue
            job, allocation = (
                self.registry.jobs.get(status.task.rpartition("/")[0]),
                m.allocations.get(status.task) if m else None,
            )
            over = job is None or job.state in (JobState.DONE, JobState.CANCELLED)
            if over or (m is not None and (allocation is None or allocation.attempt != status.attempt)):
                stops.append(Command("stop", status.task, status.attempt, 0.0))
        return stops[:MOST_COMMANDS]

    @staticmethod
    def _gang_fetches(job: Job) -> bool:
        """Whether others of the gang still wait for the image, so that one more task would only wait for them."""
        early = (AllocationState.QUEUED, AllocationState.SENT, AllocationState.FETCHING)
        return any(not p.held and p.state in early for p in job.allocations.values())

    def _may_forget(self, job: Job | None, index: int, status: TaskStatus) -> bool:
        if job is None or status.why is not ExitReason.DONE or index >= job.spec.tasks:
            return True
        # a result is forgotten only once it is durable: until then the report is the only record of it
        return job.state in (JobState.DONE, JobState.CANCELLED) or job.is_durable(index)

    @staticmethod
    def uncovered(m: Machine) -> bool:
        """Whether a grant has to be widened before all that is queued for this machine may be sent."""
        return any(p.state is AllocationState.QUEUED and not p.job.covers(p) for p in m.allocations.values())

    @staticmethod
    def direct_stops(m: Machine) -> list[Command]:
        return [Command("stop", p.name, p.attempt, p.grace) for p in m.allocations.values() if p.stop is not None]
