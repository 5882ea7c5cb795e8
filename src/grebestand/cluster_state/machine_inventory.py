"""All machines, and the only function that changes the state of one."""

from __future__ import annotations

import logging
import math

from ..clocks import DRIFT, MARGIN_S
from ..state_machines import (
    MACHINE_TRANSITIONS,
    RECEPTION_TRANSITIONS,
    AllocationState,
    MachineState,
    Reception,
    check_transition,
)
from ..wire.cloud import MachineType
from .job_registry import JobRegistry
from .jobs import Allocation
from .machine import Machine
from .resources import Resources, add, machine_capacity, subtract

log = logging.getLogger(__name__)

UNKNOWN_USAGE = 1 << 60
#: for so many leases it is remembered that a machine is gone, and of so many machines
DELETED_MEMORY_LEASES, MAX_DELETED_REMEMBERED = 6.0, 4000
#: silence is looked for at least so often, in seconds, unless this controller stands still
MAX_OBSERVATION_GAP_S = 4.0
#: a machine that has not reported for so many intervals is silent
SILENT_AFTER_INTERVALS = 2.2
#: so many reports in a row that ignore what they were answered are doubtful; one answer is lost now and then
MISSED_RESPONSES_BEFORE_SUSPICION = 2


class MachineInventory:
    def __init__(self, registry: JobRegistry, lease_s: float, report_s: float) -> None:
        self.registry = registry
        self.machines: list[Machine] = []
        self.by_name: dict[str, Machine] = {}
        self.kinds: dict[int, MachineType] = {}
        #: of each machine type
        self.rooms: list[Resources] = []
        self.lease_s = lease_s
        self.report_s = report_s
        #: jobs that machines are reserved for though they are not in the books: other clusters' gangs that may come
        self.kept: set[str] = set()
        #: machines that the cloud has deleted, and when: whatever still comes under their names is a late copy
        self.gone: dict[str, float] = {}
        #: machines to be asked directly, by index: what they report, or do not, has to be explained
        self.to_query: set[int] = set()
        #: machines proved since the last look
        self.proved: list[int] = []
        #: when silence was last looked for, and since when that was done without a break
        self._looked_at = self._awake_at = -math.inf
        self._by_index: dict[int, Machine] = {}
        self._next_index = 0
        self.unreconciled_count = 0
        self._sizeless = 0
        self._unknown = [0, 0]

    def learn_types(self, types: list[MachineType]) -> None:
        for t in types:
            self.kinds[self.registry.machine_types.index(t.name)] = t
        self.rooms = [machine_capacity(t) for t in self.kinds.values()]
        for m in self.by_name.values():
            self._measure(m)
        self.count_unknown()

    def _measure(self, m: Machine) -> None:
        kind = self.kinds.get(m.kind)
        if kind is not None:
            m.capacity = machine_capacity(kind)
            m.free = subtract(m.capacity, m.used)

    def add(
        self, name: str, addr: str, kind: str, zone: str, spot: bool, now: float, recorded: bool = False
    ) -> Machine:
        """A machine begins as new, or, on record already, as one that may hold an earlier leader's tasks."""
        registry = self.registry
        m = Machine(
            self._next_index, name, addr, registry.machine_types.index(kind), registry.zones.index(zone), spot, now
        )
        self._by_index[self._next_index] = m
        self._next_index += 1
        if recorded:
            m.recorded, m.state = True, MachineState.UNRECONCILED
        self._measure(m)
        self.machines.append(m)
        self.by_name[name] = m
        return m

    def at(self, index: int) -> Machine | None:
        return self._by_index.get(index)

    def move(self, m: Machine, new: MachineState, now: float) -> None:
        """The one function that changes a machine's state. A lapsed or gone machine holds nothing."""
        if m.state is new:
            return
        check_transition(MACHINE_TRANSITIONS, m.state, new, m.name)
        old, m.state = m.state, new
        m.change_count += 1
        if new in (MachineState.LEASE_EXPIRED, MachineState.GONE):
            self.release_all(m, now)
            if m.reserved_for is not None:
                m.reserved_for = None
        elif new is MachineState.READY:
            m.news = True
        elif new is MachineState.SUSPECT:
            # decided but never sent: nobody else can have it
            for allocation in [p for p in m.allocations.values() if p.state is AllocationState.QUEUED]:
                self.release(m, allocation, now)
        if new is MachineState.GONE:
            self.machines.remove(m)
            del self.by_name[m.name]
            del self._by_index[m.index]
            self.gone[m.name] = now
            if len(self.gone) > MAX_DELETED_REMEMBERED:
                del self.gone[next(iter(self.gone))]
        if old is MachineState.UNRECONCILED:
            self._count_proved(m)
            self.proved.append(m.index)
        self.registry.changed = True

    def was_deleted(self, name: str, now: float) -> bool:
        """Whether the cloud has deleted it lately."""
        return now - self.gone.get(name, -math.inf) < DELETED_MEMORY_LEASES * self.lease_s

    def receive(self, m: Machine, new: Reception, why: str, now: float) -> None:
        """The one function that changes what is known of a machine's reception."""
        if m.reception is new:
            return
        check_transition(RECEPTION_TRANSITIONS, m.reception, new, m.name)
        old, m.reception = m.reception, new
        m.change_count += 1
        m.unreachable_since = now if new is Reception.UNREACHABLE else math.inf
        if new is Reception.REACHABLE:
            m.missed_responses = 0
            m.news = True
        elif new is Reception.UNREACHABLE and m.state is MachineState.READY:
            self.move(m, MachineState.SUSPECT, now)
        self.registry.changed = True
        if Reception.UNREACHABLE in (old, new):
            log.info("machine %s: %s -> %s: %s", m.name, old.name, new.name, why)

    def record_missed_response(self, m: Machine, why: str, now: float, weight: int = 1) -> None:
        """A report that goes on as if the answer to the one before had not come."""
        m.missed_responses += weight
        if m.missed_responses >= MISSED_RESPONSES_BEFORE_SUSPICION and m.reception is Reception.REACHABLE:
            self.receive(m, Reception.SUSPECTED, why, now)
        if m.reception is not Reception.REACHABLE:
            self.to_query.add(m.index)

    def confirm_reception(self, machine: Machine, now: float) -> None:
        """Record that a machine does what the responses to its heartbeats said.

        For an unreachable machine this is no evidence of the present: only a direct answer or an outlived lease is.
        """
        if machine.reception is not Reception.UNREACHABLE:
            machine.missed_responses = 0
            self.receive(machine, Reception.REACHABLE, "it does as it is told", now)

    def add_allocation(self, m: Machine, allocation: Allocation) -> None:
        job = allocation.job
        m.used = add(m.used, job.size)
        m.free = subtract(m.capacity, m.used)
        m.slots[job.type] = m.slots.get(job.type, 0) + 1
        m.rank_cpus[job.rank] += job.size[0]
        whose = job.rank, job.team
        m.team_cpus[whose] = m.team_cpus.get(whose, 0) + job.size[0]
        m.change_count += 1
        if job.image not in m.images:
            m.pulls[job.image] = m.pulls.get(job.image, 0) + 1
        m.allocations[allocation.name] = allocation

    def release(self, m: Machine, allocation: Allocation, now: float) -> None:
        job = allocation.job
        m.used = subtract(m.used, job.size)
        m.free = subtract(m.capacity, m.used)
        m.slots[job.type] -= 1
        m.freed_at = now
        m.rank_cpus[job.rank] -= job.size[0]
        whose = job.rank, job.team
        m.team_cpus[whose] -= job.size[0]
        if not m.team_cpus[whose]:
            del m.team_cpus[whose]
        m.change_count += 1
        m.news = True
        if job.image in m.pulls:
            m.pulls[job.image] -= 1
            if not m.pulls[job.image]:
                del m.pulls[job.image]  # nobody waits for it any more, so the machine gives it up
        elif job.image in m.images:
            m.images.move_to_end(job.image)  # used until now
        if allocation.stop is not None:
            m.leaving -= 1
        del m.allocations[allocation.name]
        if not m.allocations:
            m.empty_since = now
        self.registry.move_allocation(allocation, AllocationState.GONE, now)
        self.registry.drop_if_settled(job)  # also where a lease or a deletion ended its last task

    def release_all(self, m: Machine, now: float) -> None:
        for allocation in list(m.allocations.values()):
            self.release(m, allocation, now)

    def lease_expired(self, m: Machine, now: float) -> bool:
        """Whether the worker has killed its tasks by its own clock, at the latest.

        Its lease runs from when it sent the report that was answered last, which was before that answer left here. That
        it goes on reporting proves nothing of that: answers may not reach it.
        """
        return now - m.last_response_at > self.lease_s * (1 + 2 * DRIFT) + MARGIN_S

    def count_unknown(self) -> None:
        """Unproved machines may run anything up to their size: each team's limit has to allow for it.

        A machine whose size is not known yet may run any amount. A leader that restarted takes over before it
        has read the machine types; counting such machines as nothing once put a team over its limit.
        """
        unreconciled = self.unreconciled()
        self.unreconciled_count = len(unreconciled)
        self._sizeless = sum(1 for m in unreconciled if m.capacity == (0, 0, 0))
        self._unknown = [sum(m.capacity[0] for m in unreconciled), sum(m.capacity[1] for m in unreconciled)]
        self._share_unknown()

    def _count_proved(self, m: Machine) -> None:
        """One machine fewer that is not proved; counting all of them anew grew with the square of their number."""
        self.unreconciled_count -= 1
        self._sizeless -= m.capacity == (0, 0, 0)
        self._unknown[0] -= m.capacity[0]
        self._unknown[1] -= m.capacity[1]
        self._share_unknown()

    def _share_unknown(self) -> None:
        for team in self.registry.teams:
            team.unknown = [UNKNOWN_USAGE, UNKNOWN_USAGE] if self._sizeless else list(self._unknown)

    def unreconciled(self) -> list[Machine]:
        return [m for m in self.machines if m.state is MachineState.UNRECONCILED]

    def detect_silent_machines(self, now: float) -> list[Machine]:
        """Notices who fell silent; returns the machines whose lease has just run out.

        Nobody is silent because this controller stood still: it begins to wait anew when it looks again.
        """
        if now - self._looked_at > MAX_OBSERVATION_GAP_S:
            self._awake_at = now
        self._looked_at = now
        lapsed = []
        for m in list(self.machines):
            if (
                m.state is MachineState.READY
                and now - max(m.last_heard_at, self._awake_at) > SILENT_AFTER_INTERVALS * self.report_s
            ):
                self.move(m, MachineState.SUSPECT, now)
            if m.state in (MachineState.SUSPECT, MachineState.UNRECONCILED, MachineState.NEW) and self.lease_expired(
                m, now
            ):
                self.move(m, MachineState.LEASE_EXPIRED, now)
                lapsed.append(m)
        return lapsed

    def counts(self, m: Machine) -> bool:
        """Whether a machine's template counts in the plan, even if it may not be given tasks right now."""
        here = m.state in (MachineState.READY, MachineState.SUSPECT) and m.reception is not Reception.UNREACHABLE
        return here and m.recorded and m.drain is None and any(m.capacity)

    def usable(self, m: Machine, now: float) -> bool:
        return (
            m.state is MachineState.READY
            and m.reception is Reception.REACHABLE
            and m.recorded
            and m.drain is None
            and now >= m.blocked_until
            and m.capacity != (0, 0, 0)
        )

    def note_image(self, m: Machine, image: int, gigabytes: float) -> None:
        """Workers keep the most recently used images up to their cache size; this mirrors that guess."""
        m.pulls.pop(image, None)
        m.news = True
        m.change_count += 1
        m.images[image] = gigabytes
        m.images.move_to_end(image)
        kind = self.kinds.get(m.kind)
        limit = kind.cache_gb if kind else 0.0
        if sum(m.images.values()) <= limit:
            return
        in_use = {p.job.image for p in m.allocations.values()}
        for old in [i for i in m.images if i not in in_use and i != image]:
            del m.images[old]
            if sum(m.images.values()) <= limit:
                return
