"""Machine types: from the cloud, else as last recorded, so that a cloud outage stops no submission."""

from __future__ import annotations

import logging

import msgspec

from ..limits.budget import Urgency
from ..outside.cloud import CloudClient, CloudError
from ..outside.state import StateClient, StateError, absent, at, put
from ..wire.cloud import MachineType, MachineTypes

log = logging.getLogger("grebestand.types")

TYPES_KEY = "meta/types"


class KnownTypes:
    def __init__(self, state: StateClient, cloud: CloudClient, value_bytes: int) -> None:
        self.state = state
        self.cloud = cloud
        self.value_bytes = value_bytes
        self.types: list[MachineType] | None = None

    def _record(self, value: object) -> None:
        """Conditional on what stands there, so that a write that is carried out late puts nothing older over it."""
        found = self.state.get(TYPES_KEY, Urgency.PROGRESS)
        if found is None or found.value != value:
            condition = absent(TYPES_KEY) if found is None else at(TYPES_KEY, found.version)
            self.state.commit([condition], [put(TYPES_KEY, value)], Urgency.PROGRESS)

    def read(self, record: bool) -> bool:
        """Asks the cloud, and has the answer recorded by who leads; False if that has to be tried again."""
        try:
            self.types = self.cloud.machine_types()
            if record:
                value = msgspec.to_builtins(MachineTypes(self.types))
                if len(msgspec.json.encode(value)) < self.value_bytes:
                    self._record(value)
            return True
        except (CloudError, StateError) as e:
            log.info("machine types: %s", e)
        if self.types is None:
            try:
                found = self.state.get(TYPES_KEY)
                if found is not None:
                    self.types = msgspec.convert(found.value, MachineTypes).types
            except (StateError, msgspec.ValidationError) as e:
                log.info("machine types on record: %s", e)
        return False
