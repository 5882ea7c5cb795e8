"""The table of hooks. A feature fills in those it needs; the core calls them and knows nothing else of it.

| hook | called by | when | may |
| --- | --- | --- | --- |
| `accept` | the users' door, on any controller | for a new, well-formed submission that could run | refuse it |
| `place` | the leader's passes and fillings | before a job's waiting tasks get places | say why the job has to wait |
| `close` | the leader, in the transaction that closes a job | once for each job that is done | add changes to it |
| `records` | a new leader, before it starts anything | while it reads its records | read its own, keep the pages |
| `messages` | the peers' door, on any controller | another controller sends that path | answer |
| `listeners` | the process, at start | once | serve an address of its own |
| `hosts` | the process, at start | once | keep what the process offers features (`SimulatedRuntime`) |
| `terms` | a new leader, after its records are read and before anything starts | once a term | read its own records |
| `recalls` | the users' door, on any controller | a job that another cluster may run is to be cancelled | see to it |
| `steps` | the leader, over and over with a pause | while its term lasts | act |

What a hook may not do: start or stop a task other than through the books, write without the leader's pen, or block
an `accept`, `place` or `close`. An exception in a hook is
logged by the loop that called it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..cluster_state.jobs import Job
from ..storage.job_records import CompletedJobRecord
from ..storage.paged_records import PagedRecords
from ..wire.jobs import JobSpec
from ..wire.store import Change


@dataclass(frozen=True)
class HookRefusal:
    """Why a submission is not taken: 422 for good, 429 or 503 with a time to come back, in seconds."""

    status: int
    text: str
    retry_after: int | None = None


@dataclass(frozen=True)
class Records:
    """A feature's records under a prefix of its own; `load` gets the pages and what stands on them."""

    prefix: str
    load: Callable[[PagedRecords, dict[str, Any]], None]


class Host(Protocol):
    """What a controller offers its features."""

    name: str

    def present(self) -> Any:
        """The term (`leader.term.Term`) in which this controller leads, its records read; else None."""

    def leader(self) -> str | None:
        """The controller that leads, as far as this one knows."""

    def cancel(self, ref: str) -> bool:
        """Ends a job as a user's cancellation would; whether it is over now."""

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """Sends a message to the controller that leads, as told last; None if it does not answer."""


class Gate(Protocol):
    """What a connection passes before any of it is read as HTTP."""

    def admit(self, host: str) -> bool:
        """Whether an address may connect at all; asked first, as it costs next to nothing."""

    def wrap(self, socket: Any, host: str) -> Any:
        """The connection as it is to be read, or None if it is refused."""


@dataclass(frozen=True)
class Listener:
    """An address of its own: `field` names it in errors, `connections` bounds what is served at a time."""

    address: str
    field: str
    app: Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]
    connections: int = 40
    gate: Gate | None = None


@dataclass
class Features:
    """All hooks of all features that are on; empty lists cost the core nothing."""

    names: list[str] = field(default_factory=list)
    accept: list[Callable[[JobSpec], HookRefusal | None]] = field(default_factory=list)
    place: list[Callable[[Job, float], str | None]] = field(default_factory=list)
    close: list[Callable[[Job, CompletedJobRecord], list[Change]]] = field(default_factory=list)
    records: list[Records] = field(default_factory=list)
    messages: dict[str, Callable[[bytes], bytes]] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    steps: list[tuple[Callable[[], None], float]] = field(default_factory=list)
    hosts: list[Callable[[Host], None]] = field(default_factory=list)
    terms: list[Callable[[Any], None]] = field(default_factory=list)
    recalls: list[Callable[[str], None]] = field(default_factory=list)

    def add(self, other: Features) -> None:
        """Takes in another feature's hooks; two may not claim the same name, prefix or path."""
        for mine, theirs, what in (
            (self.names, other.names, "feature"),
            ([r.prefix for r in self.records], [r.prefix for r in other.records], "record prefix"),
            (list(self.messages), list(other.messages), "message path"),
        ):
            twice = set(mine) & set(theirs)
            if twice:
                raise ValueError(f"{what} {min(twice)!r} is claimed twice")
        self.names += other.names
        self.accept += other.accept
        self.place += other.place
        self.close += other.close
        self.records += other.records
        self.messages.update(other.messages)
        self.listeners += other.listeners
        self.steps += other.steps
        self.hosts += other.hosts
        self.terms += other.terms
        self.recalls += other.recalls

    def refusal(self, spec: JobSpec) -> HookRefusal | None:
        """The first refusal of a submission, if there is one."""
        return next((r for hook in self.accept if (r := hook(spec)) is not None), None)

    def veto(self, job: Job, now: float) -> str | None:
        """Why a job may not get places now, if some feature says so."""
        if not self.place:  # asked for every waiting job at every report
            return None
        return next((why for hook in self.place if (why := hook(job, now)) is not None), None)
