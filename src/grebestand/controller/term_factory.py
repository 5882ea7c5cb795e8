"""Creates the term of a controller that has won an election."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..clients.cloud import CloudClient
from ..clients.kv_store import KeyValueStoreClient
from ..clients.runtime import Runtime
from ..features.hooks import Features
from ..flow_control.overload import OverloadMonitor
from ..leader.election import LeaderElection
from ..leader.fenced_writes import FencedWriter
from ..leader.term import Term
from ..settings.expressions import Expressions
from ..settings.platform import Settings
from ..storage.completed_jobs import CompletedJobs
from .direct_commands import DirectCommandSender
from .machine_type_catalog import MachineTypeCatalog


@dataclass(frozen=True)
class TermFactory:
    """Creates terms; holds the dependencies that all terms of this controller share.

    Attributes:
        max_value_bytes: Size limit of a value written to the store, in bytes.
    """

    settings: Settings
    policy: Expressions
    features: Features
    runtime: Runtime
    clock: Callable[[], float]
    election: LeaderElection
    store: KeyValueStoreClient
    cloud: CloudClient
    completed_jobs: CompletedJobs
    machine_types: MachineTypeCatalog
    overload: OverloadMonitor
    direct_commands: DirectCommandSender
    max_value_bytes: int

    def create(self) -> Term:
        """Return a term for the election's current fencing token; the term's records are not loaded yet."""
        writer = FencedWriter(self.election, self.store, self.max_value_bytes, self.settings.params.state.txn_ops)
        return Term(
            self.settings, self.policy, writer, self.cloud, self.direct_commands.send, self.clock, self.runtime.wall,
            self.completed_jobs, self.machine_types.current, self.overload, self.features,
        )  # fmt: skip
