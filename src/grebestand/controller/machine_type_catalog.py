"""The machine types that the cloud offers.

The leader records the types in the key-value store. A controller that starts during a cloud outage reads that record,
so that it can accept jobs.
"""

from __future__ import annotations

import logging

import msgspec

from ..clients.cloud import CloudClient, CloudError
from ..clients.kv_store import KeyValueStoreClient, StoreError, key_absent, put, version_is
from ..flow_control.rate_limiter import Urgency
from ..log_events import LogEvent
from ..wire.cloud import MachineType, MachineTypes

log = logging.getLogger(__name__)

TYPES_KEY = "meta/types"


class MachineTypeCatalog:
    """Caches the machine types that the cloud offers."""

    def __init__(self, store: KeyValueStoreClient, cloud: CloudClient, max_value_bytes: int) -> None:
        """Create an empty catalog.

        Args:
            store: Client of the key-value store that holds the record.
            cloud: Client of the cloud.
            max_value_bytes: Size limit of the record, in bytes; a larger list is not recorded.
        """
        self.store = store
        self.cloud = cloud
        self.max_value_bytes = max_value_bytes
        self.types: list[MachineType] | None = None

    def current(self) -> list[MachineType] | None:
        """Return the machine types, or None as long as neither the cloud nor the record could be read."""
        return self.types

    def refresh(self, *, record: bool) -> bool:
        """Read the machine types from the cloud, or from the record if the cloud fails and no types are known yet.

        Args:
            record: Whether to record types read from the cloud, as only the leader does.

        Returns:
            Whether the types were read from the cloud and, if requested, recorded.
        """
        try:
            self.types = self.cloud.machine_types()
            if record:
                self._record(self.types)
            return True
        except (CloudError, StoreError) as error:
            log.info(LogEvent("machine_types_not_refreshed", reason=error))
        if self.types is None:
            self._read_record()
        return False

    def _record(self, types: list[MachineType]) -> None:
        """Record the types if they have changed.

        The write is conditional on the record's version, so that a delayed write never replaces a newer record.
        """
        value = msgspec.to_builtins(MachineTypes(types))
        if len(msgspec.json.encode(value)) >= self.max_value_bytes:
            return
        found = self.store.get(TYPES_KEY, Urgency.PROGRESS)
        if found is None or found.value != value:
            condition = key_absent(TYPES_KEY) if found is None else version_is(TYPES_KEY, found.version)
            self.store.commit([condition], [put(TYPES_KEY, value)], Urgency.PROGRESS)

    def _read_record(self) -> None:
        try:
            found = self.store.get(TYPES_KEY)
            if found is not None:
                self.types = msgspec.convert(found.value, MachineTypes).types
        except (StoreError, msgspec.ValidationError) as error:
            log.info(LogEvent("machine_type_record_not_read", reason=error))
