"""What a leader sends the other controllers for display and for its successor: task counts and cached images."""

from __future__ import annotations

import itertools
import math
import random

from ..state_machines import MachineState
from ..wire.peers import CachedImages
from .term_context import TermComponent, TermContext

#: Addresses of workers that are sent, for other controllers to see whether they reach them.
MAX_SAMPLES = 4
#: Of one zone, no more than half of them, so that a fault of one zone is not taken for one of all.
MAX_SAMPLES_PER_ZONE = MAX_SAMPLES // 2
#: Random machines that are looked at for one sample.
DRAWS_PER_SAMPLE = 4
#: How old the counts of tasks may be, in seconds: all controllers ask for them each second.
MAX_COUNTS_AGE_S = 1.0


class StatusBroadcast(TermComponent):
    """Prepares what the other controllers are sent; nothing of it decides anything."""

    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self._counts: dict[str, tuple[int, int]] = {}
        self._counted_at = -math.inf

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of done and of running tasks, by the ids of jobs that have any."""
        now = self.clock()
        if now - self._counted_at >= MAX_COUNTS_AGE_S:
            self._counted_at = now
            self._counts = {
                job_id: (job.done_count, job.running_count())
                for job_id, job in self.registry.jobs.items()
                if job.allocations or job.done_count or job.remote_running_count
            }
        return self._counts

    def sample_addresses(self, rng: random.Random) -> list[str]:
        """Return the addresses of a few ready workers, drawn at random and mixed from several zones."""
        machines = self.inventory.machines
        by_zone: dict[int, list[str]] = {}
        for _ in range(min(len(machines), DRAWS_PER_SAMPLE * MAX_SAMPLES)):
            machine = rng.choice(machines)
            if machine.state is not MachineState.READY:
                continue
            addresses = by_zone.setdefault(machine.zone_index, [])
            if len(addresses) < MAX_SAMPLES_PER_ZONE:
                addresses.append(machine.addr)
        one_of_each_zone = itertools.zip_longest(*by_zone.values())
        mixed = [address for addresses in one_of_each_zone for address in addresses if address]
        return list(dict.fromkeys(mixed))[:MAX_SAMPLES]

    def cached_images(self) -> CachedImages:
        """Return which images are thought to be on which machines."""
        images = self.registry.images
        return CachedImages(
            names=[images.name(index) for index in range(len(images))],
            gigabytes=list(self.registry.image_gb),
            machines={machine.name: list(machine.images) for machine in self.inventory.machines if machine.images},
        )

    def restore_cached_images(self, cached: CachedImages) -> None:
        """Adopt what an earlier leader knew of cached images, as heartbeats do not list them."""
        indices = [self.registry.image_index(name, gb) for name, gb in zip(cached.names, cached.gigabytes, strict=True)]
        for name, image_positions in cached.machines.items():
            machine = self.inventory.by_name.get(name)
            if machine is not None:
                for position in image_positions:
                    self.inventory.record_image(machine, indices[position], cached.gigabytes[position])
