"""Image locality: where images are cached, where fetching an image is worthwhile, and how long a fetch takes."""

from __future__ import annotations

from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

#: An image is widely cached if the machines that have the image have this many times the CPUs that its jobs request.
#: The factor exceeds one because other work runs on these machines as well.
WIDELY_CACHED_CPU_RATIO = 2.0
#: Share of the image that a fetch under way still has to transfer, on average.
AVERAGE_REMAINING_SHARE = 0.5
#: Fetch rate assumed while no machine type of the cloud is known.
DEFAULT_FETCH_GB_PER_S = 1.0
#: Lower bound on fetch rates, so that image sizes can be divided by the rate.
MIN_FETCH_GB_PER_S = 1e-3


class ImageLocality(SchedulingComponent):
    """Estimates what fetching a job's image on a machine costs, and decides whether the job should wait instead."""

    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        #: Images whose machines had enough capacity for the demand at the last update of targets.
        self.widely_cached: set[int] = set()
        #: Images that some machine had cached or was fetching at the last update of targets.
        self.cached_images: set[int] = set()

    def update(self) -> Steps:
        """Find the images that are cached, and those that are cached widely enough for the demand.

        Yields:
            Nothing; other work may run at each yield.
        """
        demand_cpus: dict[int, int] = {}
        for job in self.registry.jobs.values():
            if job.is_live:
                tasks = len(job.allocations) + min(
                    job.wanted_count(), self.registry.teams[job.team_index].headroom(job.task_size)
                )
                demand_cpus[job.image_index] = demand_cpus.get(job.image_index, 0) + tasks * job.task_size[0]
        caching_cpus: dict[int, int] = {}
        for examined, machine in enumerate(list(self.inventory.machines), 1):
            if not examined % MACHINES_PER_STEP:
                yield
            if self.inventory.counts_in_plan(machine):
                for image in (*machine.images, *machine.image_fetches):
                    caching_cpus[image] = caching_cpus.get(image, 0) + machine.capacity[0]
        self.cached_images = set(caching_cpus)
        self.widely_cached = {
            i for i, cpus in demand_cpus.items() if caching_cpus.get(i, 0) >= WIDELY_CACHED_CPU_RATIO * cpus
        }

    def worth_fetching(self, job: Job, machine: Machine, now: float) -> bool:
        """Return whether the machine has the job's image, or should fetch the image.

        Cores reserved for a task are idle during the image fetch, and concurrent fetches share the machine's rate.
        A machine therefore fetches one image at a time, except for images that arrive before its next heartbeat. If
        enough machines have the image already, the job waits for one of them for as long as a fetch would take.

        Args:
            job: The job to place.
            machine: The candidate machine.
            now: Seconds on the leader's clock.
        """
        if job.image_index in machine.images or job.image_index in machine.image_fetches:
            return True
        fetch_s = self.fetch_s(job, machine)
        if fetch_s <= self.inventory.heartbeat_interval_s:
            return True
        return not machine.image_fetches and (
            job.image_index not in self.widely_cached or now - job.last_allocation_at >= fetch_s
        )

    def min_fetch_s(self, job: Job) -> float:
        """Return the seconds of the fastest possible fetch of the job's image; 0 if some machine has the image."""
        if job.image_index in self.cached_images:
            return 0.0
        rates = (kind.fetch_gb_per_s for kind in self.inventory.machine_types.values())
        fastest = max(rates, default=DEFAULT_FETCH_GB_PER_S)
        return self.registry.image_gb[job.image_index] / max(fastest, MIN_FETCH_GB_PER_S)

    def fetch_s(self, job: Job, machine: Machine) -> float:
        """Return how long the job would wait for its image on a machine.

        Args:
            job: The job to place.
            machine: The candidate machine; images that it is already fetching share the fetch rate.

        Returns:
            Seconds; 0 if the machine has the image or its machine type is unknown.
        """
        if job.image_index in machine.images:
            return 0.0
        kind = self.inventory.machine_types.get(machine.type_index)
        if kind is None:
            return 0.0
        sizes_gb = self.registry.image_gb
        under_way = job.image_index in machine.image_fetches
        gigabytes = sizes_gb[job.image_index] * AVERAGE_REMAINING_SHARE if under_way else sizes_gb[job.image_index]
        if machine.image_fetches and not under_way:
            gigabytes += sum(sizes_gb[image] for image in machine.image_fetches)
        return gigabytes / max(kind.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
