"""Task counts of live jobs, from this controller's term or from the leader's latest status."""

from __future__ import annotations

from ..api.peer_api import PeerApi
from .current_term import CurrentTerm


class TaskCounts:
    """Looks up how many tasks of a job are done and how many are running."""

    def __init__(self, current_term: CurrentTerm, peer_api: PeerApi) -> None:
        self.current_term = current_term
        self.peer_api = peer_api

    def get(self, job_id: str) -> tuple[int, int]:
        """Return the numbers of done and of running tasks of a job; both are 0 for an unknown job."""
        term = self.current_term.loaded()
        if term is None:
            return self.peer_api.leader_task_counts.get(job_id, (0, 0))
        job = term.registry.jobs.get(job_id)
        return (job.done_count, job.running_count()) if job is not None else (0, 0)
