"""The table of hooks. A feature provides those that it needs; the core calls them and knows nothing else of it.

| hook | called by | when | may |
| --- | --- | --- | --- |
| `accept` | the job API of any controller | for a new, well-formed submission that could run | refuse it |
| `place` | the leader, when it schedules | before a job's waiting tasks get allocations | say why the job waits |
| `close` | the leader, in the transaction that completes a job | once for each job that is done | add changes to it |
| `records` | a new leader, before it starts any task | while it reads its records | read its own records |
| `messages` | the peer API of any controller | another controller sends to that path | return a response |
| `listeners` | the process, at start | once | serve an address of its own |
| `hosts` | the process, at start | once | keep the `Host`, which is what a controller offers features |
| `terms` | a new leader, after its records are read and before anything starts | once a term | read its own records |
| `recalls` | the job API of any controller | a job that another cluster may run is cancelled | cancel it there |
| `steps` | the leader, again and again with a pause | during its term | act |

A hook must not start or stop a task other than through the leader's registry and dispatcher, nor write to the store
other than through the term's fenced writer. `accept`, `place` and `close` must not block. An exception in a hook is
logged by the loop that has called it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields
from typing import Any, Protocol

from ..cluster_state.jobs import Job
from ..errors import GrebestandError
from ..storage.job_records import CompletedJobRecord
from ..storage.paged_records import PagedRecords
from ..wire.jobs import JobSpec
from ..wire.store import Change

#: connections of a listener, unless its feature asks for another number
DEFAULT_LISTENER_CONNECTIONS = 40


class FeatureConflictError(GrebestandError, ValueError):
    """Two features claim the same thing.

    Attributes:
        claim: The kind of thing, for example `message path`.
        name: What both claim.
    """

    def __init__(self, claim: str, name: str) -> None:
        self.claim = claim
        self.name = name
        super().__init__(f"{claim} {name!r} is claimed twice")


@dataclass(frozen=True)
class HookRefusal:
    """Why a submission is not accepted.

    Attributes:
        status: HTTP status: 422 if it never will be, 429 or 503 if it may be later.
        text: The reason, for the user.
        retry_after: Seconds after which the user should try again.
    """

    status: int
    text: str
    retry_after: int | None = None


@dataclass(frozen=True)
class Records:
    """A feature's stored records.

    Attributes:
        prefix: Key prefix of their pages, used by no other feature.
        load: Gets the pages, to write to them later, and the values that were read, by name.
    """

    prefix: str
    load: Callable[[PagedRecords, dict[str, Any]], None]


class Host(Protocol):
    """What a controller offers its features.

    Attributes:
        name: Name of the controller.
    """

    name: str

    def present(self) -> Any:
        """Return the `leader.term.Term` in which this controller leads, with its records read, or None."""

    def leader(self) -> str | None:
        """Return the name of the controller that leads, as far as this one knows."""

    def cancel(self, ref: str) -> bool:
        """Cancel a job as a user would; return whether it is completed now."""

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """Send a message to the controller that is thought to lead, and return its response or None."""


class Gate(Protocol):
    """What a connection has to pass before any of it is read as HTTP."""

    def admit(self, host: str) -> bool:
        """Return whether an address may connect. Called first, as it is cheap."""

    def wrap(self, socket: Any, host: str) -> Any:
        """Return the connection to be read from, for example with TLS, or None if it is refused."""


@dataclass(frozen=True)
class Listener:
    """An address that a feature serves.

    Attributes:
        address: The address, as `host:port`.
        field: Name of the settings field that holds the address, for errors.
        app: The WSGI application that serves it.
        connections: Maximum number of connections.
        gate: What a connection has to pass, if anything.
    """

    address: str
    field: str
    app: Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]
    connections: int = DEFAULT_LISTENER_CONNECTIONS
    gate: Gate | None = None


@dataclass
class Features:
    """All hooks of all features that are on; the module's docstring has the table of them.

    `steps` has a function and the pause after it in seconds; `place` gets the job and the current time.
    """

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
        """Add another feature's hooks.

        Raises:
            FeatureConflictError: Both have the same name, record prefix or message path.
        """
        _check_distinct("feature", self.names, other.names)
        _check_distinct("record prefix", self._record_prefixes(), other._record_prefixes())
        _check_distinct("message path", self.messages, other.messages)
        self.messages.update(other.messages)
        for hook in fields(self):
            if hook.name != "messages":
                getattr(self, hook.name).extend(getattr(other, hook.name))

    def _record_prefixes(self) -> list[str]:
        """Return the key prefixes of all records."""
        return [records.prefix for records in self.records]

    def refusal(self, spec: JobSpec) -> HookRefusal | None:
        """Return the first refusal of a submission, or None if no feature refuses it."""
        return next((refusal for hook in self.accept if (refusal := hook(spec)) is not None), None)

    def waiting_reason(self, job: Job, now: float) -> str | None:
        """Return the first reason why a job may not get allocations now, or None."""
        if not self.place:  # called for every waiting job at every heartbeat, so no generator is made without need
            return None
        return next((reason for hook in self.place if (reason := hook(job, now)) is not None), None)


def _check_distinct(claim: str, first: Iterable[str], second: Iterable[str]) -> None:
    """Raise `FeatureConflictError` if two features claim the same."""
    shared = set(first) & set(second)
    if shared:
        raise FeatureConflictError(claim, min(shared))
