"""Progress of live jobs, as this controller's term or the leader's latest status tells it."""

from __future__ import annotations

from ..api.peer_api import PeerApi
from .current_term import CurrentTerm


class JobCounts:
    """Looks up how many tasks of a job are done and running."""

    def __init__(self, current_term: CurrentTerm, peer_api: PeerApi) -> None:
        self.current_term = current_term
        self.peer_api = peer_api

    def of(self, job_id: str) -> tuple[int, int]:
        """Return the numbers of done and of running tasks; both 0 for a job that is not known."""
        term = self.current_term.loaded()
        if term is None:
            return self.peer_api.leader_counts.get(job_id, (0, 0))
        job = term.registry.jobs.get(job_id)
        return (job.done_count, job.running_count()) if job is not None else (0, 0)
