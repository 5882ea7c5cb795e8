"""The durable record of a job while it is live, and what stays of it when it is over."""

from __future__ import annotations

import msgspec

from ..clients.kv_store import absent, at, delete, put
from ..wire.jobs import JobSpec, JobStatus
from ..wire.remote_assignment import RemoteAssignment
from ..wire.store import Change, Condition


class LiveJobRecord(msgspec.Struct, omit_defaults=True):
    """The durable record of an accepted job."""

    spec: JobSpec
    at: float
    #: while this is set, nothing of the job may start here
    abroad: RemoteAssignment | None = None
    #: another cluster's gang: however it comes into the books, it is never offered on
    guest: bool = False


class CompletedJobRecord(msgspec.Struct):
    """What stays of a job when it is over."""

    state: JobStatus
    tasks: int


def live_key(ident: str) -> str:
    return f"live/{ident}"


def completed_key(ident: str) -> str:
    return f"over/{ident}"


def completion_transaction(
    ident: str, version: int, record: CompletedJobRecord
) -> tuple[list[Condition], list[Change]]:
    """The one transaction that moves a job from live, at this version, to over: its conditions and its changes."""
    return (
        [at(live_key(ident), version), absent(completed_key(ident))],
        [delete(live_key(ident)), put(completed_key(ident), msgspec.to_builtins(record))],
    )
