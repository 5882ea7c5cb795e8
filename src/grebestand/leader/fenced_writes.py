"""The writes of a leader's term, each of which fails as a whole once another term has begun."""

from __future__ import annotations

from ..clients.kv_store import KeyValueStoreClient, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.paged_records import PagedRecords
from ..wire.store import Change, Condition
from .election import LEADER_KEY, FencedError, LeaderElection


class FencedWriter:
    """Writes to the key-value store under the fencing token of one term."""

    def __init__(self, election: LeaderElection, store: KeyValueStoreClient, value_bytes: int, txn_ops: int) -> None:
        """Bind the writer to the term that the election is in now.

        Args:
            election: the election that this controller has won.
            store: the key-value store.
            value_bytes: the largest size of a value, in bytes.
            txn_ops: the largest number of changes in a transaction.
        """
        self.election = election
        self.token = election.token
        self.store = store
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops

    def is_leader(self) -> bool:
        """Return whether this term may give commands right now."""
        return self.election.is_leader() and self.election.token == self.token

    def commit(self, conditions: list[Condition], changes: list[Change], urgency: Urgency) -> tuple[int, list[str]]:
        """Commit changes if the conditions hold and this term is still the current one.

        Returns:
            The new revision and no keys; or 0 and the keys whose conditions failed.

        Raises:
            FencedError: this term may not write, or another one has begun.
            StoreError: the store could not be reached; the changes may have been made.
        """
        if not self.is_leader():
            raise FencedError(self.token, "not leading")
        version, failed = self.store.commit([version_is(LEADER_KEY, self.token), *conditions], changes, urgency)
        if LEADER_KEY in failed:
            self.election.end_term("another term has begun")
            raise FencedError(self.token, "another term has begun")
        return version, failed

    def pages(self, prefix: str) -> PagedRecords:
        """Return paged records below a key prefix, written by this term."""
        return PagedRecords(prefix, self.value_bytes, self.txn_ops, self.commit, self._version_of)

    def _version_of(self, key: str) -> int:
        found = self.store.get(key, Urgency.TAKEOVER)
        return found.version if found is not None else 0
