"""The hooks of features. A feature provides the hooks that it needs; the core depends on no other part of a feature.

| hook | called by | called when | purpose |
| --- | --- | --- | --- |
| `accept` | job API of any controller | a new, valid submission arrives whose job could run | refuse the submission |
| `place` | scheduler of the leader | waiting tasks of a job are about to be placed | delay the job, with a reason |
| `close` | leader | once for each job that is done | add changes to the transaction that completes the job |
| `records` | new leader | records are loaded, before any task is started | load the feature's records |
| `messages` | peer API of any controller | another controller sends a message to the hook's path | return a response |
| `listeners` | process | once, when the process starts | serve a separate address |
| `hosts` | process | once, when the process starts | keep the `Host`, the interface of the controller |
| `terms` | new leader | once per term, after the records are loaded and before any task starts | prepare for the term |
| `recalls` | job API of any controller | a job that another cluster may run is cancelled | cancel the job there |
| `steps` | leader | repeatedly during a term, with a pause in between | do periodic work |

A hook may start and stop tasks only through the leader's registry and dispatcher, and write to the store only through
the term's fenced writer. `accept`, `place` and `close` must not block. An exception in a hook is logged by the loop
that has called the hook.
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

#: largest number of connections of a listener, unless the feature sets another one
DEFAULT_LISTENER_CONNECTIONS = 40


class FeatureConflictError(GrebestandError, ValueError):
    """Two features claim the same name, path or prefix.

    Attributes:
        claim: Kind of the claim, for example `message path`.
        name: The name, path or prefix that both features claim.
    """

    def __init__(self, claim: str, name: str) -> None:
        self.claim = claim
        self.name = name
        super().__init__(f"{claim} {name!r} is claimed twice")


@dataclass(frozen=True)
class HookRefusal:
    """A refusal of a submission.

    Attributes:
        status: HTTP status of the response: 422 if the submission can never be accepted, 429 or 503 if it may be
            accepted later.
        text: Reason of the refusal, for the user.
        retry_after: Seconds after which the user should submit the job again, None if never.
    """

    status: int
    text: str
    retry_after: int | None = None


@dataclass(frozen=True)
class Records:
    """The stored records of a feature.

    Attributes:
        prefix: Key prefix of the pages that contain the records; must differ from the prefixes of other features.
        load: Called with the pages, for later writes, and with the values read from the store, by name.
    """

    prefix: str
    load: Callable[[PagedRecords, dict[str, Any]], None]


class Host(Protocol):
    """The interface of a controller for its features.

    Attributes:
        name: Name of the controller.
    """

    name: str

    def leading_term(self) -> Any:
        """Return the current `leader.term.Term` if this controller leads and has loaded its records, else None."""

    def leader(self) -> str | None:
        """Return the name of the current leader, or None if this controller knows no leader."""

    def cancel(self, ref: str) -> bool:
        """Cancel a job in the same way as a user's request; return whether the job is completed now."""

    def ask_leader(self, path: str, body: bytes) -> bytes | None:
        """Send a message to the current leader; return the response, or None without a leader or a response."""


class Gate(Protocol):
    """Checks a connection before any HTTP request is read from it."""

    def admit(self, host: str) -> bool:
        """Return whether a host may connect; called before `wrap`, so that refusing a host is cheap."""

    def wrap(self, socket: Any, host: str) -> Any:
        """Return the connection that requests are read from, for example a TLS connection, or None to refuse it."""


@dataclass(frozen=True)
class Listener:
    """An address that a feature serves.

    Attributes:
        address: The address, as `host:port`.
        field: Name of the settings field that contains the address, for error texts.
        app: WSGI application that handles the requests.
        connections: Largest number of connections.
        gate: Checks each new connection; None accepts all connections.
    """

    address: str
    field: str
    app: Callable[[dict[str, Any], Callable[..., Any]], list[bytes]]
    connections: int = DEFAULT_LISTENER_CONNECTIONS
    gate: Gate | None = None


@dataclass
class Features:
    """All hooks of all enabled features; the table at the start of this module describes each hook.

    Attributes:
        names: Names of the enabled features.
        accept: Functions that return a refusal of a submission, or None.
        place: Functions of a job and the current time in seconds that return why the job has to wait, or None.
        close: Functions that return the changes to add to the transaction that completes a job.
        records: The stored records of each feature.
        messages: By message path, functions that return the response to a message.
        listeners: The addresses that features serve.
        steps: Pairs of a function and the pause in seconds after each call of the function.
        hosts: Functions that receive the `Host`.
        terms: Functions that receive the `leader.term.Term`.
        recalls: Functions that receive the id of the cancelled job.
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
        """Add the hooks of another feature.

        Raises:
            FeatureConflictError: The name, a record prefix or a message path is already in use.
        """
        _check_distinct("feature", self.names, other.names)
        _check_distinct("record prefix", self._record_prefixes(), other._record_prefixes())
        _check_distinct("message path", self.messages, other.messages)
        self.messages.update(other.messages)
        for hook in fields(self):
            if hook.name != "messages":
                getattr(self, hook.name).extend(getattr(other, hook.name))

    def _record_prefixes(self) -> list[str]:
        """Return the key prefixes of all features' records."""
        return [records.prefix for records in self.records]

    def first_refusal(self, spec: JobSpec) -> HookRefusal | None:
        """Return the first refusal of a submission, or None if no feature refuses the submission."""
        return next((refusal for hook in self.accept if (refusal := hook(spec)) is not None), None)

    def waiting_reason(self, job: Job, now: float) -> str | None:
        """Return the first reason why a job has to wait, or None if no feature delays the job."""
        if not self.place:  # avoids creating a generator: this method runs for every waiting job at every heartbeat
            return None
        return next((reason for hook in self.place if (reason := hook(job, now)) is not None), None)


def _check_distinct(claim: str, first: Iterable[str], second: Iterable[str]) -> None:
    """Raise `FeatureConflictError` if two features claim the same name, path or prefix."""
    shared = set(first) & set(second)
    if shared:
        raise FeatureConflictError(claim, min(shared))
