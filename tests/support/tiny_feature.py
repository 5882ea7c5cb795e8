"""A feature as small as one can be that uses every hook: a curfew with a book of what it has seen done."""

from __future__ import annotations

from typing import Any

from grebestand.clients.kv_store import put
from grebestand.cluster_state.jobs import Job
from grebestand.features.hooks import Features, HookRefusal, Listener, Records
from grebestand.features.registry import Feature, Plain
from grebestand.settings.expressions import Expressions, Rule, Vocabulary
from grebestand.settings.platform import Settings
from grebestand.storage.job_records import CompletedJobRecord
from grebestand.storage.paged_records import PagedRecords
from grebestand.wire.jobs import JobSpec
from grebestand.wire.store import Change


class Curfew:
    def __init__(self, values: Expressions, settings: Settings) -> None:
        names = {"teams": float(len(settings.params.teams))}
        self.most_tasks = values.value("most_tasks", names)
        self.on = False
        self.pages: PagedRecords | None = None
        self.found: dict[str, Any] = {}

    def accept(self, spec: JobSpec) -> HookRefusal | None:
        return HookRefusal(429, "too many tasks", 7) if spec.tasks > self.most_tasks else None

    def place(self, job: Job, now: float) -> str | None:
        return "curfew" if self.on and not job.gang else None

    def close(self, job: Job, record: CompletedJobRecord) -> list[Change]:
        return [put(f"curfew-done/{job.spec.id}", record.tasks)]

    def load(self, pages: PagedRecords, found: dict[str, Any]) -> None:
        self.pages, self.found = pages, found

    def step(self) -> None:
        assert self.pages is not None
        self.pages.put("on", self.on)


def reverse(body: bytes) -> bytes:
    return body[::-1]


def make(values: Expressions, settings: Settings, plain: Plain) -> Features:
    c = Curfew(values, settings)
    MADE.append(c)
    return Features(
        ["curfew"], [c.accept], [c.place], [c.close], [Records("curfew/", c.load)], {"/curfew": reverse},
        [Listener("127.0.0.1:1", "curfew", lambda environ, start: [])], [(c.step, 1.0)],
    )  # fmt: skip


MADE: list[Curfew] = []
FEATURE = Feature(Vocabulary({"most_tasks": Rule(1, 1e5)}, {"teams": (0.0, 1e6)}), {"most_tasks": "100 * teams"}, make)
