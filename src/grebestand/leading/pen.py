"""A leader's writes: each fails as a whole once another term has begun."""

from __future__ import annotations

from ..limits.budget import Urgency
from ..outside.state import StateClient, at
from ..records.pages import Pages
from ..wire.store import Change, Condition
from .leadership import KEY, Fenced, Leadership


class Pen:
    def __init__(self, leadership: Leadership, state: StateClient, value_bytes: int, txn_ops: int) -> None:
        self.leadership = leadership
        self.token = leadership.token
        self.state = state
        #: what a value may hold
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops

    def entitled(self) -> bool:
        """Whether this term may give commands right now."""
        return self.leadership.entitled() and self.leadership.token == self.token

    def commit(self, conditions: list[Condition], changes: list[Change], urgency: Urgency) -> tuple[int, list[str]]:
        """A leader's write: it fails as a whole once another term has begun. The new version, or failed keys."""
        if not self.entitled():
            raise Fenced("not leading")
        version, failed = self.state.commit([at(KEY, self.token), *conditions], changes, urgency)
        if KEY in failed:
            self.leadership.lose("another term has begun")
            raise Fenced("another term has begun")
        return version, failed

    def pages(self, prefix: str) -> Pages:
        return Pages(prefix, self.value_bytes, self.txn_ops, self.commit, self._version_of)

    def _version_of(self, key: str) -> int:
        found = self.state.get(key, Urgency.TAKEOVER)
        return found.version if found is not None else 0
