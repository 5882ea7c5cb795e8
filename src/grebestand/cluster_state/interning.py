"""Interning of names from messages and settings as small indices, which the cluster state uses instead of strings."""

from __future__ import annotations


class InternTable:
    """Two-way mapping between names and indices, which are assigned in ascending order from 0."""

    def __init__(self, names: list[str] | None = None) -> None:
        self._index: dict[str, int] = {}
        self._names: list[str] = []
        for name in names or []:
            self.intern(name)

    def intern(self, name: str) -> int:
        """Return the index of a name, and add the name if it is new."""
        found = self._index.get(name)
        if found is None:
            found = self._index[name] = len(self._names)
            self._names.append(name)
        return found

    def find(self, name: str) -> int | None:
        """Return the index of a name, or None if it was never added."""
        return self._index.get(name)

    def name(self, index: int) -> str:
        """Return the name with the given index.

        Raises:
            IndexError: No name has the index.
        """
        return self._names[index]

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._names)
