"""The current leadership term of this controller, shared by all parts that use, begin or end the term."""

from __future__ import annotations

from ..leader.term import Term


class CurrentTerm:
    """Holds this controller's term, from winning an election until this controller becomes a follower again."""

    def __init__(self) -> None:
        self.term: Term | None = None

    def get(self) -> Term | None:
        """Return the term, whether or not its records are loaded; None while this controller is a follower."""
        return self.term

    def loaded(self) -> Term | None:
        """Return the term if there is one and its records are loaded, else None."""
        term = self.term
        return term if term is not None and term.loaded else None

    def begin(self, term: Term) -> None:
        """Make `term` the current term; loops of an earlier term end at their next iteration."""
        self.term = term

    def end(self) -> None:
        """End the current term, if there is one; the loops of that term end at their next iteration."""
        self.term = None
