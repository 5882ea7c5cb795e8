"""The durable record of a job while it is live, and what stays of it when it is over."""

from __future__ import annotations

import msgspec

from ..outside.state import absent, at, delete, put
from ..wire.abroad import Abroad
from ..wire.jobs import JobSpec, JobView
from ..wire.store import Change, Condition


class LiveRecord(msgspec.Struct, omit_defaults=True):
    """The durable record of an accepted job."""

    spec: JobSpec
    at: float
    #: while this is set, nothing of the job may start here
    abroad: Abroad | None = None
    #: another cluster's gang: however it comes into the books, it is never offered on
    guest: bool = False


class OverRecord(msgspec.Struct):
    """What stays of a job when it is over."""

    state: JobView
    tasks: int


def live_key(ident: str) -> str:
    return f"live/{ident}"


def over_key(ident: str) -> str:
    return f"over/{ident}"


def ending(ident: str, version: int, record: OverRecord) -> tuple[list[Condition], list[Change]]:
    """The one transaction that moves a job from live, at this version, to over: its conditions and its changes."""
    return (
        [at(live_key(ident), version), absent(over_key(ident))],
        [delete(live_key(ident)), put(over_key(ident), msgspec.to_builtins(record))],
    )
