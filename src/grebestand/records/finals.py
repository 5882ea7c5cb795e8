"""How jobs ended, as far as this process remembers. Final states never change, so users may be answered from here."""

from __future__ import annotations

from collections import OrderedDict

from .jobs import OverRecord

TERMINAL_KEPT = 5000


class Finals:
    def __init__(self) -> None:
        self._over: OrderedDict[str, OverRecord] = OrderedDict()

    def get(self, ident: str) -> OverRecord | None:
        return self._over.get(ident)

    def remember(self, ident: str, record: OverRecord) -> None:
        self._over[ident] = record
        if len(self._over) > TERMINAL_KEPT:
            self._over.popitem(last=False)
