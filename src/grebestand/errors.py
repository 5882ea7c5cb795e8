"""The base class of the package's errors.

The class of every error that the package raises deliberately derives from `GrebestandError`, has a name that ends in
`Error`, and stores the data of the error text as attributes. If callers expect a standard exception, such as
`ValueError`, the class derives from that exception as well.
"""

from __future__ import annotations


class GrebestandError(Exception):
    """Base class of all errors that this package raises deliberately."""
