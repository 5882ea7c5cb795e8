"""Which tasks of arrays are done, in chunks of bits; only once that is durable may their results be forgotten."""

from __future__ import annotations

import base64

from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from .term_context import TermComponent, TermContext

PROGRESS_AGE_S = 1.5


class TaskProgress(TermComponent):
    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self.pages = self.writer.pages("progress/")

    def load(self) -> None:
        strangers: set[str] = set()
        for name, value in self.pages.load(self.writer.store.pairs(self.pages.prefix)):
            ident, _, chunk = name.partition("/")
            job = self.registry.jobs.get(ident)
            if job is None:
                strangers.add(name)
            else:
                self.registry.load_done(job, int(chunk) * self.registry.chunk_bits // 8, base64.b64decode(value))
        for name in strangers:
            self.pages.drop(name, soon=False)

    def drop(self, job: Job) -> None:
        for chunk in range(-(-job.spec.tasks // self.registry.chunk_bits)):
            self.pages.drop(f"{job.spec.id}/{chunk}", soon=False)

    def save(self) -> None:
        """Writes which tasks of arrays are done, in chunks of bits; only then may they be forgotten."""
        now = self.clock()
        bits = self.registry.chunk_bits
        batch: list[tuple[float, Job, int, bytes]] = []
        for job in self.registry.jobs.values():
            if not job.dirty or not job.live:
                continue
            for chunk, since in job.dirty.items():
                if now - since >= PROGRESS_AGE_S:
                    part = bytes(job.done[chunk * bits // 8 : (chunk + 1) * bits // 8])
                    self.pages.put(f"{job.spec.id}/{chunk}", base64.b64encode(part).decode("ascii"))
                    batch.append((since, job, chunk, part))
        if not batch:
            return
        self.pages.save(Urgency.PROGRESS)
        for since, job, chunk, part in batch:
            offset = chunk * bits // 8
            for i, byte in enumerate(part):
                job.durable[offset + i] |= byte
            if job.done[offset : offset + len(part)] == part and job.dirty.get(chunk) == since:
                job.dirty.pop(chunk, None)
            else:
                job.dirty[chunk] = now
