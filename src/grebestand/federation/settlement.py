"""Settlement: operators declare a cluster permanently lost, and gangs that it may still run return to their home.

A lost cluster cannot be distinguished from an unreachable one, so an operator decides and types a confirmation. The
record of the decision is kept until the lost cluster, once reachable again, confirms that the gang has ended there.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..clients.kv_store import KeyValueStoreClient, put, version_is
from ..flow_control.rate_limiter import Urgency
from ..storage.job_records import LiveJobRecord, live_key

SETTLED_KEY_PREFIX = "federation/settled/"


class SettledGangRecord(msgspec.Struct, omit_defaults=True):
    """The stored record of a settled gang.

    Attributes:
        cluster: Name of the lost cluster.
        job_id: The gang's job id in its home cluster.
        reservation_id: Id of the gang's reservation in the lost cluster.
        operator: Name of the operator who settled the gang.
        next_recall_at: When the lost cluster is next requested to end the gang, by this process's steady clock, in
            seconds. Never stored.
    """

    cluster: str
    job_id: str = msgspec.field(name="ref")
    reservation_id: str = msgspec.field(name="id")
    operator: str = msgspec.field(name="by")
    next_recall_at: float = msgspec.field(default=0.0, name="next_at")


@dataclass(frozen=True)
class RemoteGangRecord:
    """A gang whose live record names another cluster.

    Attributes:
        job_id: The gang's job id.
        cluster: Name of the other cluster.
        reservation_id: Id of the reservation in the other cluster.
        tasks: Number of the gang's tasks.
        version: Version of the live record in the key-value store.
        live_record: The live record.
    """

    job_id: str
    cluster: str
    reservation_id: str
    tasks: int
    version: int
    live_record: LiveJobRecord


def remote_gangs(store: KeyValueStoreClient, cluster: str) -> list[RemoteGangRecord]:
    """Return all gangs that this cluster's records assign to another cluster.

    Args:
        store: The key-value store of this cluster.
        cluster: Name of the other cluster.

    Returns:
        The gangs that the other cluster runs or may start later.

    Raises:
        StoreError: The store could not be reached.
    """
    found = []
    for pair in store.pairs("live/"):
        if not isinstance(pair.value, dict) or pair.value.get("abroad") is None:
            continue
        record = msgspec.convert(pair.value, LiveJobRecord)
        if record.remote_assignment is not None and record.remote_assignment.cluster == cluster:
            gang = RemoteGangRecord(
                job_id=record.spec.id,
                cluster=cluster,
                reservation_id=record.remote_assignment.id,
                tasks=record.spec.tasks,
                version=pair.version,
                live_record=record,
            )
            found.append(gang)
    return found


def settle(store: KeyValueStoreClient, gang: RemoteGangRecord, operator: str) -> bool:
    """Return a gang to its home cluster and record which operator decided so, in one transaction.

    Args:
        store: The key-value store of the home cluster.
        gang: The gang, as returned by `remote_gangs`.
        operator: Name of the operator.

    Returns:
        True if the records were written; False if the gang's live record has changed since `remote_gangs` read it, in
        which case nothing was written.

    Raises:
        StoreError: The store could not be reached.
    """
    live_record = msgspec.structs.replace(gang.live_record, remote_assignment=None)
    settled = SettledGangRecord(gang.cluster, gang.job_id, gang.reservation_id, operator)
    _, failed = store.commit(
        [version_is(live_key(gang.job_id), gang.version)],
        [
            put(live_key(gang.job_id), msgspec.to_builtins(live_record)),
            put(SETTLED_KEY_PREFIX + gang.reservation_id, msgspec.to_builtins(settled)),
        ],
        Urgency.COMPLETION,
    )
    return not failed
