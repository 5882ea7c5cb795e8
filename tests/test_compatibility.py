"""What others rely on stays as it is: messages, records, keys, settings, paths, texts and the command line.

The fixtures are what earlier versions sent, stored and accepted. Labels name things by what they are to others, so that
a rename in the code leaves the fixtures alone. `python3 tests/test_compatibility.py` adds what has no fixture yet; what
stands there is changed by hand only, with a change of the protocol that is meant.
"""

from __future__ import annotations

import ast
import contextlib
import dataclasses
import io
import json
import os
import pkgutil
import re
import tomllib
from enum import Enum
from importlib import import_module
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest
from msgspec import inspect

import grebestand
from grebestand import cli, load_test, simulation
from grebestand.controller import machine_type_catalog
from grebestand.emulators.task_execution import TaskEvent
from grebestand.emulators.worker import WorkerEmulator
from grebestand.features.hooks import Features
from grebestand.features.registry import BUILT_IN
from grebestand.federation import feature as federation
from grebestand.federation import guest, messages, settlement
from grebestand.leader import election, provisioning
from grebestand.settings import operations, platform, policy
from grebestand.simulation.single_controller_cluster import InMemoryCluster, InMemoryController
from grebestand.state_machines import LoadState
from grebestand.storage import job_records as job_records
from grebestand.storage import leader_records as leader_records
from grebestand.wire import cloud, jobs, peers, remote_assignment, store, workers

ROOT = Path(grebestand.__file__).parent
DEPLOY = ROOT.parent.parent / "deploy"
FIXTURES = Path(__file__).parent / "fixtures"

#: sent as JSON, or stored as JSON by the state service
JSON: dict[str, type[msgspec.Struct]] = {
    "job submission": jobs.JobSpec,
    "job answer": jobs.JobStatusResponse,
    "worker's task status": workers.TaskStatus,
    "worker's report": workers.Heartbeat,
    "command to a worker": workers.Command,
    "answer to a report": workers.HeartbeatResponse,
    "direct request to a worker": workers.DirectCommands,
    "report elsewhere": workers.Redirect,
    "cloud: machine type": cloud.MachineType,
    "cloud: machine types": cloud.MachineTypes,
    "cloud: rent request": cloud.RentRequest,
    "cloud: rented": cloud.Rented,
    "cloud: listed machine": cloud.ListedMachine,
    "cloud: machine list": cloud.MachineList,
    "cloud: machine names": cloud.MachineNames,
    "state service: pair": store.KeyValue,
    "state service: list of pairs": store.KeyValuePage,
    "state service: revision": store.CommitResult,
    "state service: lease": store.LeaseGrant,
    "state service: new lease": store.LeaseRequest,
    "state service: condition": store.Condition,
    "state service: change": store.Change,
    "state service: transaction": store.Transaction,
    "state service: event": store.ChangeEvent,
    "state service: events": store.ChangeEvents,
    "record: job that another cluster runs": remote_assignment.RemoteAssignment,
    "record: live job": job_records.LiveJobRecord,
    "record: job that is over": job_records.CompletedJobRecord,
    "record: machine": leader_records.MachineRecord,
    "record: where tasks may be": leader_records.GrantRecord,
    "record: rental": leader_records.RentalRecord,
    "record: leader": election.LeaderValue,
    "record: settled gang": settlement.SettledGangRecord,
    "record: guest gang": guest.GuestRecord,
}
#: sent as MessagePack between controllers of one cluster, and between clusters
MSGPACK: dict[str, type[msgspec.Struct]] = {
    "controllers: hello": peers.PeerStatus,
    "controllers: resigned": peers.ResignationNotice,
    "controllers: relayed request": peers.ProxiedRequest,
    "controllers: relayed answer": peers.ProxiedResponse,
    "controllers: batch of reports": peers.HeartbeatBatch,
    "controllers: answers to a batch": peers.HeartbeatBatchResponse,
    "controllers: cached images": peers.CachedImages,
    "clusters: look": messages.Probe,
    "clusters: offer": messages.ReservationRequest,
    "clusters: commit": messages.Commit,
    "clusters: ask": messages.StatusQuery,
    "clusters: recall": messages.Recall,
    "clusters: forget": messages.Forget,
    "clusters: room": messages.FreeCapacity,
    "clusters: reserved": messages.Reserved,
    "clusters: refused": messages.Rejection,
    "clusters: running": messages.Running,
    "clusters: ended": messages.Ended,
    "clusters: unsure": messages.UncertainReply,
}
MESSAGES = JSON | MSGPACK
#: settings files, whose fields are fixtures of their own
FILES: dict[str, type[msgspec.Struct]] = {"platform": platform.Settings, "federation": federation.LocalSettings}
#: a common base, and what stays in a process
NOT_SENT = {messages._ReservationMessage, provisioning.PendingMachine}
#: packages whose structures are for simulations and rehearsals only
SIMULATION = (simulation.__name__, load_test.__name__)
ENUMERATIONS: dict[str, type[Enum]] = {
    "shape of a job": jobs.Kind, "rank of a job": jobs.Priority, "state of a job": jobs.JobStatus,
    "state of a task": workers.TaskPhase, "why a task ended": workers.ExitReason, "load of a controller": LoadState,
}  # fmt: skip


class Values:
    """Values for fields of any type, each as different from the others as its type allows."""

    def __init__(self) -> None:
        self.count = 0

    def of(self, kind: inspect.Type, full: bool) -> Any:  # noqa: C901 - one case a kind
        self.count += 1
        match kind:
            case inspect.Metadata(type=inner):
                return self.of(inner, full)
            case inspect.IntType():
                return self.count
            case inspect.FloatType():
                return self.count + 0.5
            case inspect.StrType(pattern=pattern):
                return f"text {self.count}" if pattern is None else f"j-{self.count}"
            case inspect.BoolType():
                return True
            case inspect.BytesType():
                return bytes((0, 255, self.count))
            case inspect.AnyType():
                return {"any": [self.count]}
            case inspect.EnumType(cls=cls):
                return list(cls)[self.count % len(cls)]
            case inspect.UnionType(types=options):
                return self.of(next(t for t in options if not isinstance(t, inspect.NoneType)), full)
            case inspect.ListType(item_type=item):
                return [self.of(item, full)]
            case inspect.TupleType(item_types=items):
                return tuple(self.of(item, full) for item in items)
            case inspect.DictType(key_type=key, value_type=value):
                return {self.of(key, full): self.of(value, full)}
            case inspect.StructType(cls=struct):
                return self.instance(struct, full)
        raise NotImplementedError(kind)

    def instance(self, struct: type, full: bool) -> Any:
        return struct(**{f.name: self.of(f.type, full) for f in fields(struct) if full or f.required})


def fields(struct: type) -> tuple[inspect.Field, ...]:
    found = inspect.type_info(struct)
    assert isinstance(found, inspect.StructType)
    return found.fields


def encoded(label: str, message: Any) -> str:
    return msgspec.json.encode(message).decode() if label in JSON else msgspec.msgpack.encode(message).hex()


def decoded(label: str, text: str, kind: Any) -> Any:
    if label in JSON:
        return msgspec.json.decode(text, type=kind)
    return msgspec.msgpack.decode(bytes.fromhex(text), type=kind)


def messages_now() -> dict[str, Any]:
    variants = {"defaults": False, "all set": True}
    return {
        label: {variant: encoded(label, Values().instance(struct, full)) for variant, full in variants.items()}
        for label, struct in MESSAGES.items()
    }


def enumerations_now() -> dict[str, Any]:
    found: dict[str, Any] = {label: [member.value for member in cls] for label, cls in ENUMERATIONS.items()}
    return found | {"ranks from the highest on": list(jobs.PRIORITIES)}


def keys_now() -> dict[str, Any]:
    """Keys in the state service, most as a leader has written them in its work, and what it has told workers."""
    commands: set[str] = set()
    obey = WorkerEmulator.apply_response

    def noted(self: WorkerEmulator, orders: workers.HeartbeatResponse) -> None:
        commands.update(command.op for command in orders.commands)
        obey(self, orders)

    with mock.patch.object(WorkerEmulator, "apply_response", noted):
        world = InMemoryCluster()
        worker, node = world.add_worker("n-000000"), InMemoryController(world, "node-0")
        term = node.lead()
        world.run_rounds(term, 3)
        ended, cancelled, _ = [world.submit_job(node) for _ in range(3)]
        world.run_rounds(term)
        worker.finish_task(f"{ended}/0")
        node.job_api.cancel(cancelled)
        world.run_rounds(term)
    return {
        "machine types": machine_type_catalog.TYPES_KEY,
        "guest gang": guest.guest_key("id"),
        "settled gangs": settlement.SETTLED_KEY_PREFIX,
        "written by a leader": sorted(world.store.data),
        "commands to workers": sorted(commands),
    }


def paths_of(struct: type, before: str = "") -> list[str]:
    """All fields of a settings file, with those of its tables."""
    found = []
    for field in fields(struct):
        kind, path = field.type, before + field.encode_name
        if isinstance(kind, inspect.ListType):
            kind, path = kind.item_type, f"{path}[]"
        found += paths_of(kind.cls, f"{path}.") if isinstance(kind, inspect.StructType) else [path]
    return sorted(found)


def settings_now() -> dict[str, Any]:
    shipped = Path(policy.__file__).with_name("default_policy.toml")
    files = {path.name: sorted(tomllib.loads(path.read_text("utf-8"))) for path in [shipped, *DEPLOY.glob("*.toml")]}
    ranges = [(policy.VARIABLES, policy.KEYS), (federation.NAMES, federation.KEYS)]
    return {
        **{f"fields of the {name} file": paths_of(struct) for name, struct in FILES.items()},
        **{f"keys of {name}": keys for name, keys in sorted(files.items())},
        "policy and federation: names": [{n: list(r) for n, r in sorted(names.items())} for names, _ in ranges],
        "policy and federation: keys": [{k: dataclasses.astuple(r) for k, r in sorted(d.items())} for _, d in ranges],
        "functions of expressions": sorted(operations.FUNCTIONS),
        "federation: defaults": federation.DEFAULTS,
        "federation: plain keys": sorted(federation.PLAIN),
        "features": sorted(BUILT_IN),
        "hooks": sorted(f.name for f in dataclasses.fields(Features)),
        "columns of a history": sorted(f.name for f in dataclasses.fields(TaskEvent)),
    }


def command_line_now(*verbs: str) -> dict[str, Any]:
    """Options and choices of each verb, from its help."""
    out, wide = io.StringIO(), mock.patch.dict(os.environ, {"COLUMNS": "10000"})
    with wide, contextlib.redirect_stdout(out), contextlib.suppress(SystemExit):
        cli.main([*verbs, "--help"])
    usage = out.getvalue().partition("\n\n")[0]
    found: dict[str, Any] = {" ".join(verbs): sorted(set(re.findall(r"--[a-z][a-z-]*|\{.*?\}", usage)))}
    inner = re.search(r"\{([a-z,-]+)\} \.\.\.", usage)
    for verb in inner[1].split(",") if inner else ():
        found |= command_line_now(*verbs, verb)
    return found


NOW = {
    "messages": messages_now, "enumerations": enumerations_now, "keys": keys_now, "settings": settings_now,
    "command_line": command_line_now,
}  # fmt: skip


def fixture(name: str) -> dict[str, Any]:
    path = FIXTURES / f"{name}.json"
    return dict(json.loads(path.read_text("utf-8"))) if path.exists() else {}


@pytest.mark.parametrize("label", sorted(MESSAGES))
def test_what_was_encoded_is_decoded_and_encoded_again_to_the_same_bytes(label: str) -> None:
    kept = fixture("messages")[label]
    assert list(kept) == ["defaults", "all set"]
    assert kept == {which: encoded(label, decoded(label, text, MESSAGES[label])) for which, text in kept.items()}
    # the very same instances are encoded: no field was added, taken away or moved
    assert messages_now()[label] == kept


@pytest.mark.parametrize("label", sorted(MESSAGES))
def test_unknown_fields_are_passed_over_and_missing_ones_have_their_defaults(label: str) -> None:
    """As controllers of two versions meet in one cluster, or one reads what another has stored."""
    kept, kind = fixture("messages")[label], MESSAGES[label]
    bare, full = (decoded(label, kept[which], Any) for which in ("defaults", "all set"))
    more = [*full, 1] if isinstance(full, list) else {**full, "unknown": [1]}
    assert decoded(label, encoded(label, more), kind) == decoded(label, kept["all set"], kind)
    names = [f.encode_name for f in fields(kind) if f.required]
    less = bare[: len(names)] if isinstance(bare, list) else {k: v for k, v in bare.items() if k in {"type", *names}}
    assert decoded(label, encoded(label, less), kind) == decoded(label, kept["defaults"], kind)


@pytest.mark.parametrize("label", sorted(label for label in MSGPACK if label.startswith("clusters: ")))
def test_a_message_between_clusters_is_told_from_the_others_by_its_tag(label: str) -> None:
    for text in fixture("messages")[label].values():
        assert type(decoded(label, text, messages.Message | messages.Reply)) is MESSAGES[label]


def test_every_structure_has_a_fixture() -> None:
    found: set[type] = set()
    for info in pkgutil.walk_packages([str(ROOT)], "grebestand."):
        if not info.name.startswith(SIMULATION) and not info.name.endswith("__main__"):
            here = vars(import_module(info.name)).values()
            found |= {c for c in here if isinstance(c, type) and issubclass(c, msgspec.Struct)} - {msgspec.Struct}
    in_files = {c for c in found if c.__module__ in {f.__module__ for f in FILES.values()}}
    assert found - in_files - NOT_SENT == set(MESSAGES.values())
    assert fixture("messages").keys() == MESSAGES.keys()


@pytest.mark.parametrize("name", sorted(NOW.keys() - {"messages"}))
def test_names_and_values_that_others_use_are_unchanged(name: str) -> None:
    assert json.loads(json.dumps(NOW[name]())) == fixture(name)


def test_texts_that_others_get_or_send_are_still_in_the_code() -> None:
    """Paths, answers to users, workers and clusters, and variables of the environment."""
    there: set[object] = set()
    for path in ROOT.rglob("*.py"):
        if f"{grebestand.__name__}.{path.relative_to(ROOT).parts[0]}" not in SIMULATION:
            there |= {n.value for n in ast.walk(ast.parse(path.read_text("utf-8"))) if isinstance(n, ast.Constant)}
    texts = {text for part in fixture("texts").values() for text in part}
    assert texts and {t for t in texts if t not in there and t.encode() not in there} == set()


if __name__ == "__main__":
    for each, now in NOW.items():
        (FIXTURES / f"{each}.json").write_text(json.dumps(now() | fixture(each), indent=1) + "\n", "utf-8")
