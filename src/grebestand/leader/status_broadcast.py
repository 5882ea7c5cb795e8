"""What a leader sends to the other controllers, for display and for its successor: task counts and cached images."""

from __future__ import annotations

import itertools
import math
import random

from ..state_machines import MachineState
from ..wire.peers import CachedImages
from .term_context import TermComponent, TermContext

#: At most this many addresses of workers are sent, with which other controllers test whether they can reach workers.
MAX_SAMPLES = 4
#: At most half of the addresses are of one zone, so that a failure of one zone is not mistaken for a failure of all.
MAX_SAMPLES_PER_ZONE = MAX_SAMPLES // 2
#: How many random machines are tried for each sampled address.
DRAWS_PER_SAMPLE = 4
#: How long the counts of tasks are cached, in seconds: each controller requests them every second.
MAX_COUNTS_AGE_S = 1.0


class StatusBroadcast(TermComponent):
    """Prepares the data sent to the other controllers, on which no decision about jobs depends."""

    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self._counts: dict[str, tuple[int, int]] = {}
        self._counted_at = -math.inf

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of done and running tasks by job id, for jobs that have any."""
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
        """Return the addresses of a few ready workers, drawn at random from several zones.

        Args:
            rng: the source of random numbers.
        """
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
        """Return which images are assumed to be cached on which machines."""
        images = self.registry.images
        return CachedImages(
            names=[images.name(index) for index in range(len(images))],
            gigabytes=list(self.registry.image_gb),
            machines={machine.name: list(machine.images) for machine in self.inventory.machines if machine.images},
        )

    def restore_cached_images(self, cached: CachedImages) -> None:
        """Restore an earlier leader's record of cached images, as heartbeats do not list images.

        Args:
            cached: the images and machines as sent by the earlier leader.
        """
        indices = [self.registry.image_index(name, gb) for name, gb in zip(cached.names, cached.gigabytes, strict=True)]
        for name, image_positions in cached.machines.items():
            machine = self.inventory.by_name.get(name)
            if machine is not None:
                for position in image_positions:
                    self.inventory.record_image(machine, indices[position], cached.gigabytes[position])
