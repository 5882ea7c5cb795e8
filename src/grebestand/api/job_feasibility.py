"""Checks whether a submitted job could ever run in this cluster."""

from __future__ import annotations

from ..cluster_state.resources import fits, machine_capacity, task_resources
from ..errors import GrebestandError
from ..settings.platform import Team
from ..wire.cloud import MachineType
from ..wire.jobs import JobSpec, Kind

#: Amount in CPUs or GPUs by which a sum may exceed a limit, to allow for rounding errors of fractional amounts.
LIMIT_TOLERANCE = 1e-6


class UnsatisfiableJobError(GrebestandError):
    """A well-formed job that can never run (status 422)."""


class UncertainStateError(GrebestandError):
    """Information needed to decide on a request is not available yet (status 503)."""


def check_can_run(spec: JobSpec, teams: dict[str, Team], machine_types: list[MachineType] | None) -> None:
    """Check a job against the limit of its team and against the machine types.

    Args:
        spec: The job.
        teams: All teams, by name.
        machine_types: The machine types that the cloud offers, or None while they are not known.

    Raises:
        UnsatisfiableJobError: The team is unknown or its limit too small for the job, or no allowed machine type is
            large enough for one task.
        UncertainStateError: The machine types are not known.
    """
    team = teams.get(spec.team)
    if team is None:
        raise UnsatisfiableJobError("unknown team")
    if _exceeds_limit(spec, team):
        raise UnsatisfiableJobError("the job needs more than its team's limit")
    if machine_types is None:
        raise UncertainStateError("the machine types are not known yet")
    size = task_resources(spec)
    if not any(
        _allows(spec, machine_type) and fits(size, machine_capacity(machine_type)) for machine_type in machine_types
    ):
        raise UnsatisfiableJobError("a task fits no allowed machine type")


def _exceeds_limit(spec: JobSpec, team: Team) -> bool:
    """Return whether the tasks that must run at the same time exceed the team's limit: one of an array, else all."""
    tasks = 1 if spec.kind is Kind.ARRAY else spec.tasks
    # a CPU limit of 0 means that there is no limit (see `cluster_state.teams`)
    exceeds_cpus = team.cpus_max > 0 and tasks * spec.cpus > team.cpus_max + LIMIT_TOLERANCE
    return exceeds_cpus or tasks * spec.gpus > team.gpus_max + LIMIT_TOLERANCE


def _allows(spec: JobSpec, machine_type: MachineType) -> bool:
    """Return whether the job allows this machine type, and the type is available in the zone that the job requires."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    return spec.zone is None or spec.zone in machine_type.zones
