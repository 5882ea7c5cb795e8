"""The jobs of a scale run, drawn from a seed alone."""

from __future__ import annotations

import math
import random
from collections import defaultdict

from ..wire.jobs import JobSpec, Kind, Priority
from .records import JobRow, LoadPlan

IMAGES = 8
IMAGE_GB = 0.2
CPUS_PER_TASK = 1.0
MEMORY_GB_PER_TASK = 1.0
#: the shares of gangs among ordinary and among urgent jobs
GANG_SHARE = 0.3
URGENT_GANG_SHARE = 0.5
#: the share of ordinary jobs whose users do not look whether their team has capacity left
LIMIT_IGNORING_SHARE = 0.15
#: tasks of a job, at least and at most: their logarithms are spread evenly
ARRAY_TASKS = (64, 512)
GANG_TASKS = (2, 128)
URGENT_TASKS = (1, 128)
#: teams that are drawn at random before the one with the largest free limit is taken
TEAM_DRAWS = 40


class JobGenerator:
    """Draws jobs whose sizes, teams and kinds follow from the seed of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        """Start with the first job of the plan's seed."""
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.count = 0
        #: of each team, tasks that are asked for and not done
        self.open_tasks: dict[str, int] = defaultdict(int)

    def next_job(self, *, urgent: bool) -> tuple[JobSpec, JobRow]:
        """Draw a job and the row that records what becomes of it."""
        rng = self.rng
        gang = rng.random() < (URGENT_GANG_SHARE if urgent else GANG_SHARE)
        tasks = self._draw_size(gang, urgent)
        team = self._draw_team(tasks, careless=not urgent and rng.random() < LIMIT_IGNORING_SHARE, gang=gang)
        while team is None:
            tasks = max(1, tasks // 2)
            team = self._draw_team(tasks, careless=False, gang=gang)
        self.count += 1
        # arguments are evaluated in this order, and thereby drawn in it
        spec = JobSpec(
            id=f"j-{self.count:06d}",
            klass="urgent" if urgent else "batch",
            team=team,
            kind=Kind.GANG if gang else Kind.ARRAY,
            priority=Priority.PRODUCTION if urgent else Priority.NORMAL,
            tasks=tasks,
            cpus=CPUS_PER_TASK,
            gpus=0.0,
            memory_gb=MEMORY_GB_PER_TASK,
            image=f"img-{rng.randrange(IMAGES)}",
            image_gb=IMAGE_GB,
            one_zone=False,
            spread=False,
            spot=False,
            estimate_s=rng.uniform(*self.plan.task_s),
            checkpoint_s=0.0,
            save_s=0.0,
        )
        row = JobRow(
            id=spec.id, team=team, tasks=tasks, cpus=spec.cpus, gang=gang, urgent=urgent, asked_at=0.0
        )  # fmt: skip
        return spec, row

    def _draw_size(self, gang: bool, urgent: bool) -> int:
        least, most = URGENT_TASKS if urgent else GANG_TASKS if gang else ARRAY_TASKS
        most = min(most, self.plan.most_tasks)
        least = min(least, most)
        return round(math.exp(self.rng.uniform(math.log(least), math.log(most))))

    def _draw_team(self, tasks: int, *, careless: bool, gang: bool) -> str | None:
        """Draw a team whose limit has capacity left for all tasks.

        Args:
            tasks: the number of tasks.
            careless: the limit may be used up by other jobs.
            gang: the limit has to allow all tasks at a time.

        Returns:
            The team, or None if no team's limit allows that many tasks.
        """
        names = list(self.plan.teams)
        for _ in range(TEAM_DRAWS):
            team = self.rng.choice(names)
            limit = self.plan.teams[team]
            if (careless and (not gang or tasks <= limit)) or self.open_tasks[team] + tasks <= limit:
                return team
        allowed = [name for name in names if not gang or tasks <= self.plan.teams[name]]
        return max(allowed, key=lambda name: self.plan.teams[name] - self.open_tasks[name]) if allowed else None
