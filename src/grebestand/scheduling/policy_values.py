"""Evaluates the policy's expressions for the current state of the cluster."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.machine_inventory import MachineInventory
from ..settings.expressions import Expressions
from ..settings.platform import PlatformParams

#: Value of the variable `guarantee_s` if no objective states within which time guarantees must be met.
DEFAULT_GUARANTEE_S = 10.0


@dataclass
class PolicyValues:
    """The policy's values that scheduling decisions use, named as in the policy and updated once a period."""

    #: Spare slots for each active task type.
    g: float
    #: Reward of a slot by priority, the highest priority first.
    payoffs: tuple[float, float, float, float]
    #: Seconds between two updates of targets.
    period_s: float
    #: Seconds that a gang waits before other work is preempted for it.
    preempt_after_s: float
    #: Seconds that a job waits before reclaiming its team's guarantee.
    reclaim_after_s: float
    #: Whether services and tasks with checkpoints migrate.
    migrate: bool
    #: Whether task types may use the spare slots of other types.
    lend_spare: bool
    #: Seconds after which a job that has not begun is overdue.
    begin_after_s: float


class PolicyEvaluator:
    """Evaluates the policy for the current state of the cluster."""

    def __init__(
        self, policy: Expressions, params: PlatformParams, registry: JobRegistry, inventory: MachineInventory
    ) -> None:
        self.policy = policy
        self.params = params
        self.registry = registry
        self.inventory = inventory

    def value(self, key: str) -> float:
        """Return the current value of the policy entry with the given key."""
        return self.policy.value(key, self.variables())

    def variables(self) -> dict[str, float]:
        """Return the variables that the policy's expressions may use."""
        params, machines = self.params, self.inventory.machines
        return {
            "machines": max(1.0, float(len(machines))),
            "busy": float(sum(1 for m in machines if m.allocations)),
            "types": max(1.0, float(len(self.registry.task_types))),
            "zones": float(len(params.zones)),
            "teams": float(len(params.teams)),
            "controllers": float(params.nodes),
            "report_s": params.workers.report_s,
            "sockets": float(params.quota.max_connections),
            "lease_s": params.workers.lease_s,
            "cancel_s": params.workers.cancel_s,
            "gang_wait_s": params.workers.gang_wait_s,
            "gang_peer_s": params.workers.gang_peer_s,
            "guarantee_s": self._guarantee_s(),
        }

    def _guarantee_s(self) -> float:
        """Return the seconds within which the strictest objective requires guarantees to be met."""
        return min(
            (o.within_s for o in self.params.objectives if o.kind == "guarantee" and o.within_s),
            default=DEFAULT_GUARANTEE_S,
        )

    def policy_values(self) -> PolicyValues:
        """Return the current values of all policy entries that scheduling decisions use."""
        names = self.variables()

        def value(key: str) -> float:
            return self.policy.value(key, names)

        return PolicyValues(
            g=math.ceil(value("g")),
            payoffs=(
                value("payoff_production"),
                value("payoff_high"),
                value("payoff_normal"),
                value("payoff_low"),
            ),
            period_s=value("period_s"),
            preempt_after_s=value("preempt_after_s"),
            reclaim_after_s=value("reclaim_after_s"),
            migrate=bool(value("migrate")),
            lend_spare=bool(value("lend_spare")),
            begin_after_s=value("begin_after_s"),
        )
