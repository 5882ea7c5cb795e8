"""What operators declare when a cluster is lost for good: a gang that it may still run is home again.

Nothing can tell a cluster that is gone from one that cannot be reached, so this is a person's word, with a written
confirmation. The record of it stays until that cluster, if it ever comes back, has ended what it may still run.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..clients.kv_store import KeyValueStoreClient, put, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.job_records import LiveJobRecord, live_key

PREFIX = "federation/settled/"


class Settled(msgspec.Struct, omit_defaults=True):
    """The gang, the cluster that was lost, the reservation there, and whose word it was."""

    cluster: str
    ref: str
    id: str
    by: str
    #: of this process: when the cluster is told next
    next_at: float = 0.0


@dataclass(frozen=True)
class RemoteGangRecord:
    """A gang whose live record names a cluster."""

    ref: str
    cluster: str
    id: str
    tasks: int
    version: int
    record: LiveJobRecord


def remote_gangs(state: KeyValueStoreClient, cluster: str) -> list[RemoteGangRecord]:
    """All gangs that a cluster runs or may come to run, by this cluster's records."""
    found = []
    for pair in state.pairs("live/"):
        if isinstance(pair.value, dict) and pair.value.get("abroad") is not None:
            record = msgspec.convert(pair.value, LiveJobRecord)
            if record.abroad is not None and record.abroad.cluster == cluster:
                found.append(
                    RemoteGangRecord(record.spec.id, cluster, record.abroad.id, record.spec.tasks, pair.version, record)
                )
    return found


def settle(state: KeyValueStoreClient, gang: RemoteGangRecord, by: str) -> bool:
    """One transaction: the gang is home's again, and who said so is on record. False if it has changed meanwhile."""
    record = msgspec.structs.replace(gang.record, abroad=None)
    word = Settled(gang.cluster, gang.ref, gang.id, by)
    _, failed = state.commit(
        [version_is(live_key(gang.ref), gang.version)],
        [
            put(live_key(gang.ref), msgspec.to_builtins(record)),
            put(PREFIX + gang.id, msgspec.to_builtins(word)),
        ],
        Urgency.DONE,
    )
    return not failed
