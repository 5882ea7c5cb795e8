"""What a leader tells the other controllers for display and for its successor: counts of jobs, images of machines."""

from __future__ import annotations

import itertools
import math
import random

from ..state_machines import MachineState
from ..wire.peers import CachedImages
from .term_context import TermComponent, TermContext

#: workers that the others are told of, to look whether they reach them
SAMPLES = 4


class StatusBroadcast(TermComponent):
    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self._counted: dict[str, tuple[int, int]] = {}
        self._counted_at = -math.inf

    def counts(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks of each job, for all controllers' users; a second old at the most."""
        now = self.clock()
        if now - self._counted_at >= 1.0:
            self._counted_at = now
            jobs = self.registry.jobs.items()
            self._counted = {
                ident: (job.done_count, job.running())
                for ident, job in jobs
                if job.allocations or job.done_count or job.abroad_running
            }
        return self._counted

    def samples(self, rng: random.Random) -> list[str]:
        """Addresses of a few workers that reported lately, of several zones."""
        machines = self.inventory.machines
        found: dict[int, list[str]] = {}
        for _ in range(min(len(machines), 4 * SAMPLES)):
            m = rng.choice(machines)
            if m.state is MachineState.READY and len(found.setdefault(m.zone, [])) < SAMPLES // 2:
                found[m.zone].append(m.addr)
        mixed = [a for some in itertools.zip_longest(*found.values()) for a in some if a]
        return list(dict.fromkeys(mixed))[:SAMPLES]

    def cached_images(self) -> CachedImages:
        names = self.registry.images
        return CachedImages(
            [names.name(i) for i in range(len(names))],
            list(self.registry.image_gb),
            {m.name: list(m.images) for m in self.inventory.machines if m.images},
        )

    def learn_images(self, known: CachedImages) -> None:
        """Takes over what an earlier leader knew of the machines' images; reports do not tell."""
        indices = [self.registry.image(name, gb) for name, gb in zip(known.names, known.gigabytes, strict=True)]
        for name, held in known.machines.items():
            m = self.inventory.by_name.get(name)
            if m is not None:
                for i in held:
                    self.inventory.note_image(m, indices[i], known.gigabytes[i])
