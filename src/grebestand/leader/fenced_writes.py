"""A leader's writes: each fails as a whole once another term has begun."""

from __future__ import annotations

from ..clients.kv_store import KeyValueStoreClient, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.paged_records import PagedRecords
from ..wire.store import Change, Condition
from .election import LEADER_KEY, FencedError, LeaderElection


class FencedWriter:
    def __init__(self, election: LeaderElection, state: KeyValueStoreClient, value_bytes: int, txn_ops: int) -> None:
        self.election = election
        self.token = election.token
        self.store = state
        #: what a value may hold
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops

    def is_leader(self) -> bool:
        """Whether this term may give commands right now."""
        return self.election.is_leader() and self.election.token == self.token

    def commit(self, conditions: list[Condition], changes: list[Change], urgency: Urgency) -> tuple[int, list[str]]:
        """A leader's write: it fails as a whole once another term has begun. The new version, or failed keys."""
        if not self.is_leader():
            raise FencedError("not leading")
        version, failed = self.store.commit([version_is(LEADER_KEY, self.token), *conditions], changes, urgency)
        if LEADER_KEY in failed:
            self.election.lose("another term has begun")
            raise FencedError("another term has begun")
        return version, failed

    def pages(self, prefix: str) -> PagedRecords:
        return PagedRecords(prefix, self.value_bytes, self.txn_ops, self.commit, self._version_of)

    def _version_of(self, key: str) -> int:
        found = self.store.get(key, Urgency.TAKEOVER)
        return found.version if found is not None else 0
