"""What operators declare when a cluster is lost for good: a gang that it may still run returns home.

Nothing can distinguish a cluster that is gone from one that cannot be reached, so an operator decides, with a written
confirmation. The record of the decision stays until that cluster, if it ever returns, has ended what it may still run.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..clients.kv_store import KeyValueStoreClient, put, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.job_records import LiveJobRecord, live_key

PREFIX = "federation/settled/"


class Settled(msgspec.Struct, omit_defaults=True):
    """The stored record of a settled gang.

    Attributes:
        cluster: the cluster that was lost.
        ref: the gang's job id at home.
        id: the reservation's id.
        by: the operator.
        next_at: when the cluster is asked next to end the gang, by the clock of this process; never stored.
    """

    cluster: str
    ref: str
    id: str
    by: str
    next_at: float = 0.0


@dataclass(frozen=True)
class RemoteGangRecord:
    """A gang whose live record names another cluster.

    Attributes:
        ref: the gang's job id.
        cluster: the other cluster.
        id: the reservation's id.
        tasks: its number of tasks.
        version: the version of the live record.
        record: the live record.
    """

    ref: str
    cluster: str
    id: str
    tasks: int
    version: int
    record: LiveJobRecord


def remote_gangs(state: KeyValueStoreClient, cluster: str) -> list[RemoteGangRecord]:
    """Return all gangs that a cluster runs or may come to run, by this cluster's records.

    Raises:
        StoreError: the store could not be reached.
    """
    found = []
    for pair in state.pairs("live/"):
        if not isinstance(pair.value, dict) or pair.value.get("abroad") is None:
            continue
        record = msgspec.convert(pair.value, LiveJobRecord)
        if record.remote_assignment is not None and record.remote_assignment.cluster == cluster:
            gang = RemoteGangRecord(
                ref=record.spec.id,
                cluster=cluster,
                id=record.remote_assignment.id,
                tasks=record.spec.tasks,
                version=pair.version,
                record=record,
            )
            found.append(gang)
    return found


def settle(state: KeyValueStoreClient, gang: RemoteGangRecord, by: str) -> bool:
    """Return a gang home and record who has decided so, in one transaction.

    Args:
        state: the key-value store.
        gang: the gang, as `remote_gangs` has found it.
        by: the operator.

    Returns:
        False if the gang's record has changed meanwhile; nothing is written then.

    Raises:
        StoreError: the store could not be reached.
    """
    live_record = msgspec.structs.replace(gang.record, remote_assignment=None)
    settled = Settled(gang.cluster, gang.ref, gang.id, by)
    _, failed = state.commit(
        [version_is(live_key(gang.ref), gang.version)],
        [
            put(live_key(gang.ref), msgspec.to_builtins(live_record)),
            put(PREFIX + gang.id, msgspec.to_builtins(settled)),
        ],
        Urgency.COMPLETION,
    )
    return not failed
