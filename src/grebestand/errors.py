"""The base class of the package's errors.

Every error that the package raises on purpose derives from `GrebestandError`, ends in `Error` and keeps the data of its
text as attributes. An error whose callers expect a standard class, such as `ValueError`, derives from that as well.
"""

from __future__ import annotations


class GrebestandError(Exception):
    """Base of all errors that this package raises on purpose."""
