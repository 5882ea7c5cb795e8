"""The term that this controller leads at present, known to every part that serves or ends it."""

from __future__ import annotations

from ..leader.term import Term


class CurrentTerm:
    """Holds the term of this controller, from the moment it wins an election until it follows again."""

    def __init__(self) -> None:
        self.term: Term | None = None

    def get(self) -> Term | None:
        """Return the term, whether or not its records are loaded; None while another controller leads."""
        return self.term

    def loaded(self) -> Term | None:
        """Return the term if its records are loaded, else None."""
        term = self.term
        return term if term is not None and term.loaded else None

    def begin(self, term: Term) -> None:
        """Make `term` the current one; loops of an earlier term end at their next step."""
        self.term = term

    def end(self) -> None:
        """End the current term, if there is one; its loops end at their next step."""
        self.term = None
