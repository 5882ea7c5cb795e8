"""Machine types: from the cloud, else as last recorded, so that a cloud outage stops no submission."""

from __future__ import annotations

import logging

import msgspec

from ..clients.cloud import CloudClient, CloudError
from ..clients.kv_store import KeyValueStoreClient, StoreError, key_absent, put, version_is
from ..flow_control.rate_limiter import Urgency
from ..wire.cloud import MachineType, MachineTypes

log = logging.getLogger(__name__)

TYPES_KEY = "meta/types"


class MachineTypeCatalog:
    def __init__(self, state: KeyValueStoreClient, cloud: CloudClient, value_bytes: int) -> None:
        self.store = state
        self.cloud = cloud
        self.value_bytes = value_bytes
        self.types: list[MachineType] | None = None

    def _record(self, value: object) -> None:
        """Conditional on what stands there, so that a write that is carried out late puts nothing older over it."""
        found = self.store.get(TYPES_KEY, Urgency.PROGRESS)
        if found is None or found.value != value:
            condition = key_absent(TYPES_KEY) if found is None else version_is(TYPES_KEY, found.version)
            self.store.commit([condition], [put(TYPES_KEY, value)], Urgency.PROGRESS)

    def read(self, record: bool) -> bool:
        """Asks the cloud, and has the answer recorded by who leads; False if that has to be tried again."""
        try:
            self.types = self.cloud.machine_types()
            if record:
                value = msgspec.to_builtins(MachineTypes(self.types))
                if len(msgspec.json.encode(value)) < self.value_bytes:
                    self._record(value)
            return True
        except (CloudError, StoreError) as e:
            log.info("machine types: %s", e)
        if self.types is None:
            try:
                found = self.store.get(TYPES_KEY)
                if found is not None:
                    self.types = msgspec.convert(found.value, MachineTypes).types
            except (StoreError, msgspec.ValidationError) as e:
                log.info("machine types on record: %s", e)
        return False
