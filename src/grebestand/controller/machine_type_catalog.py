"""The machine types on offer: from the cloud, else as recorded last, so that a cloud outage stops no submission."""

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
    """Keeps the machine types that the cloud offers."""

    def __init__(self, store: KeyValueStoreClient, cloud: CloudClient, max_value_bytes: int) -> None:
        """`max_value_bytes` bounds what is recorded: a longer list stays unrecorded."""
        self.store = store
        self.cloud = cloud
        self.max_value_bytes = max_value_bytes
        self.types: list[MachineType] | None = None

    def current(self) -> list[MachineType] | None:
        """Return the types, or None as long as neither the cloud nor the store has been read."""
        return self.types

    def refresh(self, *, record: bool) -> bool:
        """Read the types from the cloud, and record them if `record` says so, as the leader does.

        Returns:
            Whether that succeeded. If not, the recorded types are read in case none are known yet.
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
        """Record the types if they changed; conditional, so that a delayed write never replaces a newer record."""
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
