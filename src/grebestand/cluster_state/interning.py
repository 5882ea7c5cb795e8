"""Interning: names from messages and settings are mapped to small indices, which the cluster state uses throughout."""

from __future__ import annotations


class InternTable:
    """Gives each name the next free index, counted from 0, and maps both ways."""

    def __init__(self, names: list[str] | None = None) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []
        for name in names or []:
            self.index(name)

    def index(self, name: str) -> int:
        """Return the index of a name, which is added if it is new."""
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def find(self, name: str) -> int | None:
        """Return the index of a name, or None if it was never added."""
        return self._index.get(name)

    def name(self, index: int) -> str:
        """Return the name that has this index.

        Raises:
            IndexError: No name has it.
        """
        return self._names[index]

    def __len__(self) -> int:
        """Return how many names there are."""
        return len(self._names)
