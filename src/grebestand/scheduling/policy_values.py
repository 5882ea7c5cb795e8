"""The policy's values of the moment."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..cluster_state.job_registry import JobRegistry
from ..cluster_state.machine_inventory import MachineInventory
from ..settings.expressions import Expressions
from ..settings.platform import Params


@dataclass
class PolicyValues:
    """The policy's values of the moment."""

    g: float
    payoffs: tuple[float, float, float, float]
    period_s: float
    preempt_after_s: float
    reclaim_after_s: float
    migrate: bool
    lend_spare: bool
    begin_after_s: float


class PolicyEvaluator:
    """Evaluates the policy under what the books say now."""

    def __init__(self, policy: Expressions, params: Params, registry: JobRegistry, inventory: MachineInventory) -> None:
        self.policy = policy
        self.params = params
        self.registry = registry
        self.inventory = inventory

    def value(self, key: str) -> float:
        return self.policy.value(key, self.names())

    def names(self) -> dict[str, float]:
        p, machines = self.params, self.inventory.machines
        return {
            "machines": max(1.0, float(len(machines))),
            "busy": float(sum(1 for m in machines if m.allocations)),
            "types": max(1.0, float(len(self.registry.types))),
            "zones": float(len(p.zones)),
            "teams": float(len(p.teams)),
            "controllers": float(p.nodes),
            "report_s": p.workers.report_s,
            "sockets": float(p.quota.max_connections),
            "lease_s": p.workers.lease_s,
            "cancel_s": p.workers.cancel_s,
            "gang_wait_s": p.workers.gang_wait_s,
            "gang_peer_s": p.workers.gang_peer_s,
            "guarantee_s": min(
                (o.within_s for o in p.objectives if o.kind == "guarantee" and o.within_s), default=10.0
            ),
        }

    def policy_values(self) -> PolicyValues:
        names = self.names()
        v = self.policy.value
        return PolicyValues(
            g=math.ceil(v("g", names)),
            payoffs=(
                v("payoff_production", names),
                v("payoff_high", names),
                v("payoff_normal", names),
                v("payoff_low", names),
            ),
            period_s=v("period_s", names),
            preempt_after_s=v("preempt_after_s", names),
            reclaim_after_s=v("reclaim_after_s", names),
            migrate=bool(v("migrate", names)),
            lend_spare=bool(v("lend_spare", names)),
            begin_after_s=v("begin_after_s", names),
        )
