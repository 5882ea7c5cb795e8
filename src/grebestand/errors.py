"""The base class of the package's errors."""

from __future__ import annotations


class GrebestandError(Exception):
    """Base of all errors that this package raises on purpose."""
