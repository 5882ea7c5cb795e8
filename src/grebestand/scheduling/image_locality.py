"""Image locality: which machines have an image, where it is worth fetching, and how long a job would wait for it."""

from __future__ import annotations

from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

#: an image is well spread if the machines that have it have this many times the CPUs that its jobs want, as they are
#: shared with other work
HOST_FACTOR = 2.0
#: a fetch that is under way has this share of the image left, on average
REMAINING_SHARE = 0.5
#: fetch rate (GB/s) while the cloud's offer is not known
DEFAULT_FETCH_GB_PER_S = 1.0
#: fetch rates (GB/s) count for at least this much, so that sizes can be divided by them
MIN_FETCH_GB_PER_S = 1e-3


class ImageLocality(SchedulingComponent):
    """Knows which machines have which images, and what fetching an image costs."""

    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        #: images whose machines had enough capacity for the demand at the last computation of targets
        self.well_spread: set[int] = set()
        #: images that some machine had or fetched then
        self.hosted: set[int] = set()

    def measure(self) -> Steps:
        """Find the images whose machines, shared with other work, can serve the demand for them."""
        demand_cpus: dict[int, int] = {}
        for job in self.registry.jobs.values():
            if job.is_live:
                tasks = len(job.allocations) + min(
                    job.wanted_count(), self.registry.teams[job.team_index].headroom(job.task_size)
                )
                demand_cpus[job.image_index] = demand_cpus.get(job.image_index, 0) + tasks * job.task_size[0]
        host_cpus: dict[int, int] = {}
        for examined, machine in enumerate(list(self.inventory.machines), 1):
            if not examined % MACHINES_PER_STEP:
                yield
            if self.inventory.counts_in_plan(machine):
                for image in (*machine.images, *machine.image_fetches):
                    host_cpus[image] = host_cpus.get(image, 0) + machine.capacity[0]
        self.hosted = set(host_cpus)
        self.well_spread = {i for i, cpus in demand_cpus.items() if host_cpus.get(i, 0) >= HOST_FACTOR * cpus}

    def worth_fetching(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether the machine has the job's image, or should fetch it.

        While an image is fetched the cores are idle, and several fetches at once share the machine's rate. So a
        machine fetches one after the other, and where enough machines have the image already, the job waits for
        those as long as a fetch would take.
        """
        if job.image_index in machine.images or job.image_index in machine.image_fetches:
            return True
        fetch_s = self.fetch_s(job, machine)
        if fetch_s <= self.inventory.heartbeat_interval_s:
            return True
        return not machine.image_fetches and (
            job.image_index not in self.well_spread or now - job.last_allocation_at >= fetch_s
        )

    def least_s(self, job: Job) -> float:
        """Return the shortest time for which the job would wait for its image: none if some machine has it."""
        if job.image_index in self.hosted:
            return 0.0
        rates = (kind.fetch_gb_per_s for kind in self.inventory.machine_types.values())
        fastest = max(rates, default=DEFAULT_FETCH_GB_PER_S)
        return self.registry.image_gb[job.image_index] / max(fastest, MIN_FETCH_GB_PER_S)

    def fetch_s(self, job: Job, machine: Machine) -> float:
        """Return how long the job would wait for its image on a machine; concurrent fetches share the rate."""
        if job.image_index in machine.images:
            return 0.0
        kind = self.inventory.machine_types.get(machine.type_index)
        if kind is None:
            return 0.0
        sizes_gb = self.registry.image_gb
        under_way = job.image_index in machine.image_fetches
        gigabytes = sizes_gb[job.image_index] * REMAINING_SHARE if under_way else sizes_gb[job.image_index]
        if machine.image_fetches and not under_way:
            gigabytes += sum(sizes_gb[image] for image in machine.image_fetches)
        return gigabytes / max(kind.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
