"""A minimal feature that uses most hooks: a curfew, which limits, delays and records jobs."""

from __future__ import annotations

from typing import Any

from grebestand.clients.kv_store import put
from grebestand.cluster_state.jobs import Job
from grebestand.features.hooks import Features, HookRefusal, Listener, Records
from grebestand.features.registry import Feature, PlainValues
from grebestand.settings.expressions import Expressions, ValidValues, Vocabulary
from grebestand.settings.platform import Settings
from grebestand.storage.job_records import CompletedJobRecord
from grebestand.storage.paged_records import PagedRecords
from grebestand.wire.jobs import JobSpec
from grebestand.wire.store import Change

RETRY_AFTER_S = 7


class Curfew:
    """The feature's state, and one method for each hook.

    Attributes:
        max_tasks: Submissions with more tasks are refused.
        active: Whether jobs other than gangs have to wait.
        records: The pages that the hook `records` has received.
        loaded: The values that the hook `records` has received with the pages.
    """

    def __init__(self, values: Expressions, settings: Settings) -> None:
        names = {"teams": float(len(settings.params.teams))}
        self.max_tasks = values.value("most_tasks", names)
        self.active = False
        self.records: PagedRecords | None = None
        self.loaded: dict[str, Any] = {}

    def accept(self, spec: JobSpec) -> HookRefusal | None:
        return HookRefusal(429, "too many tasks", RETRY_AFTER_S) if spec.tasks > self.max_tasks else None

    def place(self, job: Job, now: float) -> str | None:
        return "curfew" if self.active and not job.is_gang else None

    def close(self, job: Job, record: CompletedJobRecord) -> list[Change]:
        return [put(f"curfew-done/{job.spec.id}", record.tasks)]

    def load(self, records: PagedRecords, loaded: dict[str, Any]) -> None:
        self.records, self.loaded = records, loaded

    def step(self) -> None:
        assert self.records is not None
        self.records.put("on", self.active)


def reverse(body: bytes) -> bytes:
    """Return the response to a message: its bytes in reverse order."""
    return body[::-1]


def make(values: Expressions, settings: Settings, plain: PlainValues) -> Features:
    """Create the feature, and return its hooks."""
    curfew = Curfew(values, settings)
    CREATED_CURFEWS.append(curfew)
    return Features(
        names=["curfew"],
        accept=[curfew.accept],
        place=[curfew.place],
        close=[curfew.close],
        records=[Records("curfew/", curfew.load)],
        messages={"/curfew": reverse},
        listeners=[Listener("127.0.0.1:1", "curfew", lambda environ, start: [])],
        steps=[(curfew.step, 1.0)],
    )


#: every feature that was created, for inspection by tests
CREATED_CURFEWS: list[Curfew] = []
FEATURE = Feature(
    Vocabulary({"most_tasks": ValidValues(1, 1e5)}, {"teams": (0.0, 1e6)}), {"most_tasks": "100 * teams"}, make
)
