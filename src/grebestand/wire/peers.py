"""What controllers tell each other: who leads, whether the state service is reached, jobs' counts, cached images.

Nothing here is authority. A lost or late message costs a wrong figure on display or a slower takeover.
"""

from __future__ import annotations

import msgspec


class Hello(msgspec.Struct):
    """Sent about once a second both ways."""

    name: str
    token: int
    state_age_s: float
    counts: dict[str, tuple[int, int]] = {}
    #: how far it is behind, a `LoadState`
    load: int = 0


class Resigned(msgspec.Struct):
    """The sender has stopped using this token for good: its key may be removed."""

    name: str
    token: int


class CachedImages(msgspec.Struct):
    """Which machine is thought to have which images, by their place in `names`; a successor starts from it."""

    names: list[str] = []
    gigabytes: list[float] = []
    machines: dict[str, list[int]] = {}
