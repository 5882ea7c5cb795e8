"""Names are mapped to dense indices at the door."""

from __future__ import annotations


class InternTable:
    """Gives each name the next free index and remembers both ways."""

    def __init__(self, names: list[str] | None = None) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []
        for name in names or []:
            self.index(name)

    def index(self, name: str) -> int:
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def find(self, name: str) -> int | None:
        return self._index.get(name)

    def name(self, index: int) -> str:
        return self._names[index]

    def __len__(self) -> int:
        return len(self._names)
