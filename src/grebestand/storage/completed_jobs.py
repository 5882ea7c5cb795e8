"""How jobs ended, as far as this process remembers. Final states never change, so users may be answered from here."""

from __future__ import annotations

from collections import OrderedDict

from .job_records import CompletedJobRecord

MAX_COMPLETED_KEPT = 5000


class CompletedJobs:
    def __init__(self) -> None:
        self._over: OrderedDict[str, CompletedJobRecord] = OrderedDict()

    def get(self, ident: str) -> CompletedJobRecord | None:
        return self._over.get(ident)

    def remember(self, ident: str, record: CompletedJobRecord) -> None:
        self._over[ident] = record
        if len(self._over) > MAX_COMPLETED_KEPT:
            self._over.popitem(last=False)
