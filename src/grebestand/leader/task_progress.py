"""Stores which tasks of arrays are done; only once that is durable may workers forget their results."""

from __future__ import annotations

import base64
from typing import NamedTuple

from ..cluster_state.jobs import Job
from ..flow_control.rate_limiter import Urgency
from .term_context import TermComponent, TermContext

#: Progress is collected for this long before it is written, so that one write serves many tasks, in seconds.
PROGRESS_AGE_S = 1.5


class _DirtyChunk(NamedTuple):
    """A part of a job's progress that is to be written."""

    since: float
    job: Job
    number: int
    #: the bits of done tasks at the time of the write
    bits: bytes


class TaskProgress(TermComponent):
    """Keeps the bits of done tasks durable, in chunks that fit a stored value."""

    def __init__(self, context: TermContext) -> None:
        super().__init__(context)
        self.pages = self.writer.pages("progress/")

    def load(self) -> None:
        """Restore the progress that an earlier leader stored, and drop that of jobs that are over.

        Raises:
            StoreError: the store could not be reached.
        """
        orphans: set[str] = set()
        for name, value in self.pages.load(self.writer.store.pairs(self.pages.prefix)):
            job_id, _, chunk = name.partition("/")
            job = self.registry.jobs.get(job_id)
            if job is None:
                orphans.add(name)
            else:
                self.registry.restore_done_bits(job, int(chunk) * self._chunk_bytes(), base64.b64decode(value))
        for name in orphans:
            self.pages.drop(name, soon=False)

    def drop(self, job: Job) -> None:
        """Drop all chunks of a job."""
        chunk_count = -(-job.spec.tasks // self.registry.chunk_bits)
        for chunk in range(chunk_count):
            self.pages.drop(f"{job.spec.id}/{chunk}", soon=False)

    def save(self) -> None:
        """Write the chunks that have been changed for a while, and note which tasks are durable by that.

        Raises:
            FencedError: this term may not write any more.
            StoreError: the store could not be reached; the chunks are kept for the next call.
        """
        now = self.clock()
        chunks = self._collect(now)
        if not chunks:
            return
        self.pages.save(Urgency.PROGRESS)
        for chunk in chunks:
            self._record_durable(chunk, now)

    def _collect(self, now: float) -> list[_DirtyChunk]:
        """Put the chunks that are due on their pages."""
        chunk_bytes = self._chunk_bytes()
        chunks: list[_DirtyChunk] = []
        for job in self.registry.jobs.values():
            if not job.unsaved_chunks or not job.is_live:
                continue
            for number, since in job.unsaved_chunks.items():
                if now - since >= PROGRESS_AGE_S:
                    bits = bytes(job.done_bits[number * chunk_bytes : (number + 1) * chunk_bytes])
                    self.pages.put(f"{job.spec.id}/{number}", base64.b64encode(bits).decode("ascii"))
                    chunks.append(_DirtyChunk(since, job, number, bits))
        return chunks

    def _record_durable(self, chunk: _DirtyChunk, now: float) -> None:
        job = chunk.job
        offset = chunk.number * self._chunk_bytes()
        for i, byte in enumerate(chunk.bits):
            job.durable_bits[offset + i] |= byte
        unchanged = job.done_bits[offset : offset + len(chunk.bits)] == chunk.bits
        if unchanged and job.unsaved_chunks.get(chunk.number) == chunk.since:
            job.unsaved_chunks.pop(chunk.number, None)
        else:
            job.unsaved_chunks[chunk.number] = now

    def _chunk_bytes(self) -> int:
        return self.registry.chunk_bits // 8
