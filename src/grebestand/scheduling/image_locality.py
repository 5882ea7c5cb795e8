"""Where an image is, where it is worth fetching, and how long a job would wait for it."""

from __future__ import annotations

from ..cluster_state.jobs import Job
from ..cluster_state.machine import Machine
from .scheduling_context import MACHINES_PER_STEP, SchedulingComponent, SchedulingContext, Steps

#: an image is well spread if the machines that have it have so many times the room that is asked for with it
HOST_FACTOR = 2.0


class ImageLocality(SchedulingComponent):
    def __init__(self, context: SchedulingContext) -> None:
        super().__init__(context)
        #: images for which the machines that have them had room enough when targets were last set
        self.well_spread: set[int] = set()
        #: images that some machine had or fetched then
        self.hosted: set[int] = set()

    def measure(self) -> Steps:
        """Finds the images whose machines, shared with other work, can serve what is asked for with them."""
        demand: dict[int, int] = {}
        for job in self.registry.jobs.values():
            if job.live:
                tasks = len(job.allocations) + min(job.wanted(), self.registry.teams[job.team].headroom(job.size))
                demand[job.image] = demand.get(job.image, 0) + tasks * job.size[0]
        hosts: dict[int, int] = {}
        for looked, m in enumerate(list(self.inventory.machines), 1):
            if not looked % MACHINES_PER_STEP:
                yield
            if self.inventory.counts(m):
                for image in (*m.images, *m.pulls):
                    hosts[image] = hosts.get(image, 0) + m.capacity[0]
        self.hosted = set(hosts)
        self.well_spread = {i for i, need in demand.items() if hosts.get(i, 0) >= HOST_FACTOR * need}

    def worth_fetching(self, job: Job, m: Machine, now: float) -> bool:
        """Whether the job's image is there, or should be fetched there.

        While it is fetched the cores stand still, and several images at once share the machine's rate. So one
        comes after the other, and where enough machines have the image already, the job waits for those as
        long as a fetch would take.
        """
        if job.image in m.images or job.image in m.pulls:
            return True
        fetch = self.fetch_s(job, m)
        if fetch <= self.inventory.report_s:
            return True
        return not m.pulls and (job.image not in self.well_spread or now - job.started_at >= fetch)

    def least_s(self, job: Job) -> float:
        """The shortest that the job would have to wait for its image anywhere: not at all if a machine has it."""
        if job.image in self.hosted:
            return 0.0
        fastest = max((kind.fetch_gb_per_s for kind in self.inventory.kinds.values()), default=1.0)
        return self.registry.image_gb[job.image] / max(fastest, 1e-3)

    def fetch_s(self, job: Job, m: Machine) -> float:
        """How long the job would wait for its image there; images that are fetched together share the rate."""
        if job.image in m.images:
            return 0.0
        kind = self.inventory.kinds.get(m.kind)
        if kind is None:
            return 0.0
        size = self.registry.image_gb
        # one that is under way is half there on average
        under_way = job.image in m.pulls
        gigabytes = size[job.image] / 2 if under_way else size[job.image]
        if m.pulls and not under_way:
            gigabytes += sum(size[i] for i in m.pulls)
        return gigabytes / max(kind.fetch_gb_per_s, 1e-3)
