"""Generates the jobs of a scale run, which depend only on the plan and its seed."""

from __future__ import annotations

import math
import random
from collections import defaultdict

from ..wire.jobs import JobSpec, Kind, Priority
from .records import JobRow, LoadPlan

#: the number of different container images of all jobs
IMAGES = 8
IMAGE_GB = 0.2
CPUS_PER_TASK = 1.0
MEMORY_GB_PER_TASK = 1.0
#: the share of gangs among ordinary jobs
GANG_SHARE = 0.3
#: the share of gangs among urgent jobs
URGENT_GANG_SHARE = 0.5
#: the share of ordinary jobs that are submitted even if other jobs have used up the limit of their team
LIMIT_IGNORING_SHARE = 0.15
#: the smallest and the largest number of tasks of an ordinary array; all numbers of tasks are log-uniform
ARRAY_TASKS = (64, 512)
#: the smallest and the largest number of tasks of an ordinary gang
GANG_TASKS = (2, 128)
#: the smallest and the largest number of tasks of an urgent job
URGENT_TASKS = (1, 128)
#: the number of teams drawn at random before the team with the most free capacity is taken
TEAM_DRAWS = 40


class JobGenerator:
    """Draws jobs with random sizes, teams and kinds from the seed of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        """Start the sequence of jobs of the plan's seed."""
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.count = 0
        #: by team, the number of tasks that were submitted and are not done
        self.open_tasks: dict[str, int] = defaultdict(int)

    def next_job(self, *, urgent: bool) -> tuple[JobSpec, JobRow]:
        """Draw a job.

        Args:
            urgent: Whether to draw an urgent job or an ordinary one.

        Returns:
            The description of the job, and the row for the responses that the job's user will receive.
        """
        rng = self.rng
        gang = rng.random() < (URGENT_GANG_SHARE if urgent else GANG_SHARE)
        tasks = self._draw_size(gang, urgent)
        team = self._draw_team(tasks, ignore_used=not urgent and rng.random() < LIMIT_IGNORING_SHARE, gang=gang)
        while team is None:
            tasks = max(1, tasks // 2)
            team = self._draw_team(tasks, ignore_used=False, gang=gang)
        self.count += 1
        # the order of the arguments is the order of the random draws: another order would generate other jobs
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
        """Draw the number of tasks of a job, within the limit of the plan."""
        least, most = URGENT_TASKS if urgent else GANG_TASKS if gang else ARRAY_TASKS
        most = min(most, self.plan.most_tasks)
        least = min(least, most)
        return round(math.exp(self.rng.uniform(math.log(least), math.log(most))))

    def _draw_team(self, tasks: int, *, ignore_used: bool, gang: bool) -> str | None:
        """Draw a team whose limit has capacity left for all tasks.

        Args:
            tasks: The number of tasks.
            ignore_used: Whether to accept a team whose limit other jobs have used up.
            gang: Whether the limit of the team has to allow all tasks at the same time.

        Returns:
            The name of the team, or None if the tasks are a gang larger than the limit of every team.
        """
        names = list(self.plan.teams)
        for _ in range(TEAM_DRAWS):
            team = self.rng.choice(names)
            limit = self.plan.teams[team]
            if (ignore_used and (not gang or tasks <= limit)) or self.open_tasks[team] + tasks <= limit:
                return team
        allowed = [name for name in names if not gang or tasks <= self.plan.teams[name]]
        return max(allowed, key=lambda name: self.plan.teams[name] - self.open_tasks[name]) if allowed else None
