"""The durable record of a job while it is live, and what stays of it when it is over."""

from __future__ import annotations

import msgspec

from ..wire.jobs import JobSpec, JobView


class LiveRecord(msgspec.Struct):
    """The durable record of an accepted job."""

    spec: JobSpec
    at: float


class OverRecord(msgspec.Struct):
    """What stays of a job when it is over."""

    state: JobView
    tasks: int


def live_key(ident: str) -> str:
    return f"live/{ident}"


def over_key(ident: str) -> str:
    return f"over/{ident}"
